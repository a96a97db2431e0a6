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
import lichenstage.state.WriteOutcome
import org.slf4j.LoggerFactory
import java.time.Instant
import java.time.ZoneOffset

/** Advances drains during one term of leadership: reads the requests of operators, records each step and starts its actions. */
class DrainDriver(
    private val policy: DrainPolicy,
    private val view: DrainView,
    private val recordAccess: DrainRecordAccess,
    private val actionHandler: DrainActionHandler,
    private val tracing: DrainTracing,
    private val scope: CoroutineScope,
    private val timeOfDayUs: () -> Long,
    private val sendMessage: (DrainMessage) -> Unit,
) {
    private val log = LoggerFactory.getLogger("lichenstage.drain")
    private var core: DrainCore? = null
    private var recordedValues: Map<String, JsonObject> = emptyMap()
    private var isWriting = false
    private var isReading = false
    private var lastReadAtUs = Long.MIN_VALUE / 2
    private var lastStepAtUs = Long.MIN_VALUE / 2

    /** Keys of unreadable records that were logged. Each key is logged once. */
    private val loggedUnreadableKeys = HashSet<String>()

    /** Revisions of the drains' records as last read, by key. They are preconditions of status changes. */
    private val drainRevisions = HashMap<String, Long>()

    /** Machines that receive no new tasks. */
    val cordoned: Set<String> get() = core?.cordoned.orEmpty()

    /** Replacements that are not proven to work yet. They receive one task at a time. */
    val onProbation: Set<String> get() = core?.onProbation.orEmpty()

    /** Machines that the fleet does not count as capacity. */
    val excludedFromCapacity: Set<String> get() = core?.let { it.cordoned + it.surplusReplacements }.orEmpty()

    /** Handles the provisioning of [machine] after a call of [DrainActionHandler.provisionReplacement]. */
    fun onReplacementProvisioned(
        key: DrainKey,
        machine: String,
    ) = core?.onReplacementProvisioned(key, machine) ?: Unit

    /** Handles the stop of a running task, whether a drain or a failure caused it. */
    fun onTaskStopped(interruption: Interruption) = core?.onTaskStopped(interruption) ?: Unit

    /** Reads the records and advances the drains if either is due. Must be called regularly. [nowUs] is a time of the steady clock. */
    fun step(nowUs: Long) {
        if (!isReading && nowUs - lastReadAtUs >= READ_INTERVAL_US) readRecords(nowUs)
        val drainCore = core ?: return
        if (isWriting || nowUs - lastStepAtUs < STEP_INTERVAL_US) return
        lastStepAtUs = nowUs
        val wallClockUs = timeOfDayUs()
        val nextState = drainCore.step(wallClockUs, hourOf(wallClockUs)) ?: return
        recordState(nextState)
    }

    private fun hourOf(wallClockUs: Long) = Instant.ofEpochMilli(wallClockUs / MILLI).atOffset(ZoneOffset.UTC).hour

    private fun readRecords(nowUs: Long) {
        isReading = true
        lastReadAtUs = nowUs
        scope.launch {
            sendMessage(DrainMessage.RecordsRead((recordAccess.scan(DrainRecordCodec.PREFIX) as? ScanResult.Complete)?.entries))
        }
    }

    private fun recordState(state: DrainState) {
        val newValues = recordAccess.codec.encodeState(state)
        val changes = DrainRecordCodec.changes(recordedValues, newValues)
        if (changes.isEmpty()) return executeActions(isRecorded = true)
        isWriting = true
        scope.launch {
            val outcome = recordAccess.singleWriterKeys.write(recordAccess.leaderPreconditions, changes, isUrgent = false)
            val isWritten = outcome == WriteOutcome.COMMITTED
            if (!isWritten) delay(RETRY_INTERVAL_MS)
            sendMessage(DrainMessage.StateRecorded(newValues, isWritten))
        }
    }

    private fun executeActions(isRecorded: Boolean) {
        val drainCore = core ?: return
        for (action in drainCore.onStateRecorded(isRecorded)) {
            tracing.recordAction(action)
            when (action) {
                is DrainAction.EvictTasks -> actionHandler.evict(action.tasks)
                is DrainAction.ProvisionReplacement -> actionHandler.provisionReplacement(action.key)
                is DrainAction.Terminate -> actionHandler.terminate(action.machine)
                is DrainAction.Pause -> changeStatus(action.drain, DrainStatus.PAUSED, action.reason)
                is DrainAction.Finish -> changeStatus(action.drain, DrainStatus.FINISHED, null)
            }
        }
    }

    /** Writes a new status to the record of a drain, unless the record has changed since it was read. */
    private fun changeStatus(
        name: String,
        status: DrainStatus,
        reason: String?,
    ) {
        val drain = core?.drains?.firstOrNull { it.name == name } ?: return
        log.info("Drain status change requested drain={} status={} reason={}", name, status.name.lowercase(), reason ?: "none")
        val key = DrainRecordCodec.DRAIN_PREFIX + name
        val preconditions = recordAccess.leaderPreconditions + Precondition(key, drainRevisions[key] ?: Precondition.ABSENT)
        val change = Change.Put(key, recordAccess.codec.encode(drain.copy(status = status, reason = reason)))
        scope.launch {
            val outcome = recordAccess.store.commit(preconditions, listOf(change), isUrgent = false)
            sendMessage(DrainMessage.StatusChanged(name, outcome is TransactionResult.Committed))
        }
    }

    /** Handles the result of an asynchronous read or write of this driver. */
    fun handle(message: DrainMessage) {
        when (message) {
            is DrainMessage.RecordsRead -> {
                isReading = false
                message.entries?.let(::applyRecords)
            }

            is DrainMessage.StateRecorded -> {
                isWriting = false
                // After a failed write, the recorded values are unknown, so the next step writes all pages that are not empty.
                recordedValues = if (message.isSuccess) recordedValues + message.writtenValues else emptyMap()
                executeActions(message.isSuccess)
            }

            is DrainMessage.StatusChanged -> {
                if (!message.isSuccess) core?.onStatusChangeFailed(message.drain)
            }
        }
    }

    private fun applyRecords(entries: List<Entry>) {
        val pages = entries.filter { it.key.startsWith(DrainRecordCodec.MACHINE_PREFIX) }
        val pagesByDrain = pages.groupBy { it.key.removePrefix(DrainRecordCodec.MACHINE_PREFIX).substringBeforeLast('/') }
        val machinesByDrain = pagesByDrain.mapNotNull { (drain, drainPages) -> decodeMachinePages(drainPages)?.let { drain to it } }.toMap()
        if (core == null) initializeCore(entries, machinesByDrain)
        val drains = entries.filter { it.key.startsWith(DrainRecordCodec.DRAIN_PREFIX) }.mapNotNull { decodeDrain(it, machinesByDrain) }
        val drainCore = core ?: return
        val newDrains = drains.filter { drain -> drainCore.drains.none { it.name == drain.name } }
        // The drain command wrote the pages of a new drain. From now on only this leader writes them.
        for (drain in newDrains) {
            val drainPages = pagesByDrain[drain.name].orEmpty()
            recordAccess.singleWriterKeys.load(drainPages)
            recordedValues = recordedValues + drainPages.associate { it.key to it.value }
        }
        drainCore.updateDrains(drains, newDrains.flatMap { machinesByDrain.getValue(it.name) })
    }

    private fun initializeCore(
        entries: List<Entry>,
        machines: Map<String, List<DrainedMachine>>,
    ) {
        val pages = entries.filter { it.key.startsWith(DrainRecordCodec.INTERRUPTION_PREFIX) }
        // If one of these pages is unreadable, the current interruptions are unknown, so no drain may make progress.
        val interruptions = pages.map { page -> decodeOrNull(page) { recordAccess.codec.decodeInterruptions(it) } ?: return }
        recordAccess.singleWriterKeys.load(pages)
        recordedValues = pages.associate { it.key to it.value }
        val state =
            DrainState().let { empty ->
                empty.copy(interruptions = empty.interruptions.putAll(interruptions.flatten().associateBy { it.taskId }))
            }
        core = DrainCore(policy, view, state, recordAccess.codec.maxInterruptions)
        if (machines.isNotEmpty()) log.info("Drains loaded drains={}", machines.keys)
    }

    private fun decodeMachinePages(pages: List<Entry>): List<DrainedMachine>? =
        pages.map { page -> decodeOrNull(page) { recordAccess.codec.decodeMachines(it) } ?: return null }.flatten()

    private fun decodeDrain(
        entry: Entry,
        machines: Map<String, List<DrainedMachine>>,
    ): Drain? {
        val name = entry.key.removePrefix(DrainRecordCodec.DRAIN_PREFIX)
        drainRevisions[entry.key] = entry.modRevision
        return if (name in machines) decodeOrNull(entry) { recordAccess.codec.decodeDrain(it) } else null
    }

    private fun <T : Any> decodeOrNull(
        entry: Entry,
        decode: (Entry) -> T,
    ): T? =
        try {
            decode(entry)
        } catch (e: UnreadableRecordException) {
            if (loggedUnreadableKeys.add(entry.key)) {
                log.error("Drain record unreadable, affected drains make no progress key={} reason={}", entry.key, e.message)
            }
            null
        }

    private companion object {
        const val READ_INTERVAL_US = 2 * SECOND
        const val STEP_INTERVAL_US = SECOND
        const val RETRY_INTERVAL_MS = 300L
    }
}
