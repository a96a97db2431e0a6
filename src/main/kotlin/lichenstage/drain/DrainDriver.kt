package lichenstage.drain

import io.vertx.core.json.JsonObject
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import lichenstage.common.MILLI
import lichenstage.common.SECOND
import lichenstage.state.Change
import lichenstage.state.Entry
import lichenstage.state.Precondition
import lichenstage.state.ScanResult
import lichenstage.state.TransactionResult
import lichenstage.state.UnreadableRecordException
import org.slf4j.LoggerFactory
import java.time.Instant
import java.time.ZoneOffset

/** Advances drains during one term of leadership: reads what operators requested, records each step, and has it carried out. */
class DrainDriver(
    private val policy: DrainPolicy,
    private val view: DrainView,
    private val recordAccess: DrainRecordAccess,
    private val actions: DrainActionHandler,
    private val tracing: DrainTracing,
    private val scope: CoroutineScope,
    private val timeOfDayUs: () -> Long,
    private val tell: (DrainMessage) -> Unit,
) {
    private val log = LoggerFactory.getLogger("lichenstage.drain")
    private var core: DrainCore? = null
    private var recorded: Map<String, JsonObject> = emptyMap()
    private var writing = false
    private var reading = false
    private var readUs = Long.MIN_VALUE / 2
    private var steppedUs = Long.MIN_VALUE / 2

    /** Keys of records that can't be read: each is logged once. */
    private val reportedUnreadable = HashSet<String>()

    /** The stamps of the drains' records as last read, for changes of them. */
    private val stamps = HashMap<String, Long>()

    /** Machines that get no more tasks. */
    val cordoned: Set<String> get() = core?.cordoned.orEmpty()

    /** Machines that get one task at a time. */
    val onProbation: Set<String> get() = core?.onProbation.orEmpty()

    /** Machines that the fleet does not count as capacity. */
    val excludedFromCapacity: Set<String> get() = core?.let { it.cordoned + it.surplusReplacements }.orEmpty()

    /** A machine was provisioned for a request of [DrainActionHandler.provisionReplacement]. */
    fun replacementProvisioned(
        key: DrainKey,
        machine: String,
    ) = core?.replacementProvisioned(key, machine) ?: Unit

    /** A task that ran has stopped, whatever the cause. */
    fun taskStopped(interruption: Interruption) = core?.taskLost(interruption) ?: Unit

    /** To be called regularly; [now] is a time of the steady clock in microseconds. */
    fun step(now: Long) {
        if (!reading && now - readUs >= READ_INTERVAL_US) read(now)
        val drains = core ?: return
        if (writing || now - steppedUs < STEP_INTERVAL_US) return
        steppedUs = now
        val atUs = timeOfDayUs()
        val next = drains.step(atUs, hourOf(atUs)) ?: return
        record(next)
    }

    private fun hourOf(atUs: Long) = Instant.ofEpochMilli(atUs / MILLI).atOffset(ZoneOffset.UTC).hour

    private fun read(now: Long) {
        reading = true
        readUs = now
        scope.launch {
            tell(DrainMessage.RecordsRead((recordAccess.scan(DrainRecords.PREFIX) as? ScanResult.Complete)?.entries))
        }
    }

    private fun record(state: DrainState) {
        val wanted = recordAccess.codec.encodeState(state)
        val changes = DrainRecords.changes(recorded, wanted)
        if (changes.isEmpty()) return execute(recorded = true)
        writing = true
        scope.launch {
            val ok = changes.chunked(recordAccess.txnOps).all { recordAccess.owned.write(recordAccess.leaderGuard, it, isUrgent = false) }
            if (!ok) delay(RETRY_INTERVAL_MS)
            tell(DrainMessage.StateRecorded(wanted, ok))
        }
    }

    private fun execute(recorded: Boolean) {
        val drains = core ?: return
        for (act in drains.stateRecorded(recorded)) {
            tracing.act(act)
            when (act) {
                is DrainAction.EvictTasks -> actions.evict(act.tasks)
                is DrainAction.ProvisionReplacement -> actions.provisionReplacement(act.key)
                is DrainAction.Terminate -> actions.terminate(act.machine)
                is DrainAction.Pause -> changeStatus(act.drain, DrainStatus.PAUSED, act.reason)
                is DrainAction.Finish -> changeStatus(act.drain, DrainStatus.FINISHED, null)
            }
        }
    }

    /** Changes the record of a drain as operators do, on the condition that it is as it was read. */
    private fun changeStatus(
        name: String,
        status: DrainStatus,
        reason: String?,
    ) {
        val drain = core?.drains?.firstOrNull { it.name == name } ?: return
        log.info("Drain status changed drain={} status={} reason={}", name, status.name.lowercase(), reason ?: "none")
        val key = DrainRecords.DRAINS + name
        val guards = recordAccess.leaderGuard + Precondition(key, stamps[key] ?: Precondition.ABSENT)
        val change = Change.Put(key, recordAccess.codec.encode(drain.copy(status = status, reason = reason)))
        scope.launch {
            val outcome = recordAccess.store.commit(guards, listOf(change), isUrgent = false)
            tell(DrainMessage.StatusChanged(name, outcome is TransactionResult.Committed))
        }
    }

    /** Takes the result of something that this driver has started. */
    fun handle(message: DrainMessage) {
        when (message) {
            is DrainMessage.RecordsRead -> {
                reading = false
                message.entries?.let(::applyRecords)
            }

            is DrainMessage.StateRecorded -> {
                writing = false
                // Where that is not known, all is written again.
                recorded = if (message.ok) recorded + message.written else emptyMap()
                execute(message.ok)
            }

            is DrainMessage.StatusChanged -> {
                if (!message.ok) core?.statusChangeFailed(message.drain)
            }
        }
    }

    private fun applyRecords(entries: List<Entry>) {
        val pages = entries.filter { it.key.startsWith(DrainRecords.MACHINES) }
        val machines = pages.groupBy { it.key.removePrefix(DrainRecords.MACHINES).substringBeforeLast('/') }
        val readable = machines.mapNotNull { (drain, rows) -> readMachines(rows)?.let { drain to it } }.toMap()
        if (core == null) initialize(entries, readable)
        val drains = entries.filter { it.key.startsWith(DrainRecords.DRAINS) }.mapNotNull { readDrain(it, readable) }
        val known = core ?: return
        val news = drains.filter { drain -> known.drains.none { it.name == drain.name } }
        // Pages of a drain that is new here were written by the command: from now on they are this leader's.
        for (drain in news) {
            val own = machines[drain.name].orEmpty()
            recordAccess.owned.load(own)
            recorded = recorded + own.associate { it.key to it.value }
        }
        known.updateDrains(drains, news.flatMap { readable.getValue(it.name) })
    }

    private fun initialize(
        entries: List<Entry>,
        machines: Map<String, List<DrainedMachine>>,
    ) {
        val pages = entries.filter { it.key.startsWith(DrainRecords.INTERRUPTIONS) }
        // Without these pages the interruptions in progress are unknown, so no more are started.
        val interruptions = pages.map { page -> readable(page) { recordAccess.codec.decodeInterruptions(it) } ?: return }
        recordAccess.owned.load(pages)
        recorded = pages.associate { it.key to it.value }
        val state =
            DrainState().let { empty ->
                empty.copy(interruptions = empty.interruptions.putAll(interruptions.flatten().associateBy { it.task }))
            }
        core = DrainCore(policy, view, state, recordAccess.codec.maxInterruptions)
        if (machines.isNotEmpty()) log.info("Drains found in records drains={}", machines.keys)
    }

    private fun readMachines(pages: List<Entry>): List<DrainedMachine>? =
        pages.map { page -> readable(page) { recordAccess.codec.decodeMachines(it) } ?: return null }.flatten()

    private fun readDrain(
        entry: Entry,
        machines: Map<String, List<DrainedMachine>>,
    ): Drain? {
        val name = entry.key.removePrefix(DrainRecords.DRAINS)
        stamps[entry.key] = entry.modRevision
        return if (name in machines) readable(entry) { recordAccess.codec.decodeDrain(it) } else null
    }

    private fun <T : Any> readable(
        entry: Entry,
        read: (Entry) -> T,
    ): T? =
        try {
            read(entry)
        } catch (e: UnreadableRecordException) {
            if (reportedUnreadable.add(
                    entry.key,
                )
            ) {
                log.error("Drain record unreadable, the drain makes no progress key={} error={}", entry.key, e.message)
            }
            null
        }

    private companion object {
        const val READ_INTERVAL_US = 2 * SECOND
        const val STEP_INTERVAL_US = SECOND
        const val RETRY_INTERVAL_MS = 300L
    }
}
