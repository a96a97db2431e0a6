package lichenstage.placement

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.plus
import lichenstage.authority.Authority
import lichenstage.authority.OwnershipRecords
import lichenstage.cloud.CloudClient
import lichenstage.cloud.MachineCatalog
import lichenstage.cluster.Frame
import lichenstage.cluster.TaskCounts
import lichenstage.common.Clock
import lichenstage.common.JsonDecodingException
import lichenstage.common.Mailbox
import lichenstage.common.timeOfDayUs
import lichenstage.config.Settings
import lichenstage.drain.DrainActionHandler
import lichenstage.drain.DrainDriver
import lichenstage.drain.DrainKey
import lichenstage.drain.DrainPolicy
import lichenstage.drain.DrainRecordAccess
import lichenstage.drain.DrainRecords
import lichenstage.drain.DrainTracing
import lichenstage.drain.RunningTask
import lichenstage.fleet.FleetPolicy
import lichenstage.jobs.CompletedTaskRanges
import lichenstage.jobs.DependencyGraph
import lichenstage.jobs.JobRecordCodec
import lichenstage.jobs.JobReplicaSync
import lichenstage.model.MachineFit
import lichenstage.state.Entry
import lichenstage.state.KeyValueStoreClient
import lichenstage.state.Precondition
import lichenstage.state.SingleWriterKeys
import lichenstage.state.TransactionResult
import org.slf4j.LoggerFactory
import java.util.BitSet
import kotlinx.coroutines.Job as CoroutineJob

/** What operators may set of a leader. */
data class LeaderOptions(
    val fleet: FleetPolicy,
    val placementSettings: PlacementSettings,
    /** Null where drains are not switched on. */
    val drains: DrainPolicy?,
)

/** One term of leadership: loads the records, then places jobs and rents machines until the term is over. */
class LeaderActor(
    private val settings: Settings,
    private val authority: Authority,
    state: KeyValueStoreClient,
    cloud: CloudClient,
    private val catalog: MachineCatalog,
    private val clock: Clock,
    replicaSync: JobReplicaSync,
    dependencyGraph: DependencyGraph,
    parent: CoroutineScope,
    /** The term of the leadership, and the revision of its key. */
    val term: Long,
    leaderKeyRevision: Long,
    options: LeaderOptions,
    private val send: (String, Frame) -> Unit,
) {
    private val log = LoggerFactory.getLogger("lichenstage.placement")
    private val lifetime: CoroutineJob = SupervisorJob(parent.coroutineContext[CoroutineJob])
    private val scope = parent + lifetime
    private val objectives = ServiceObjectives(settings.objectives)
    private val core =
        LeaderCore(
            term,
            leaderKeyRevision,
            settings.assignment,
            settings.teams,
            settings.workerLeaseUs,
            options.placementSettings,
            objectives,
            { catalog.machineTypes[it]?.capacity },
            settings.txnOps,
            { MachineFit.maxFetchUs(it, catalog.machineTypes) },
            dependencyGraph::dependentsOf,
            settings.valueBytes,
            ::carryOut,
        )
    private val mailbox =
        Mailbox("leader", scope, ::handle, shed = { it is LeaderMessage.PartitionFrameReceived || it is LeaderMessage.Tick })
    private val owned = SingleWriterKeys(state)
    private val writer =
        LeaderRecordWriter(state, owned, leaderKeyRevision, settings.txnOps, scope, replicaSync::jobFinished, mailbox::tell)
    private val registry = RegistryDriver(settings, core, writer)
    private val fleet =
        FleetDriver(
            settings,
            core,
            FleetObserver(settings, core, catalog, objectives),
            CloudCaller(cloud, settings.cloudRps, scope, mailbox::tell),
            options.fleet,
            clock.now(),
        ) { drains }
    private val drains: DrainDriver? = options.drains?.let { drainDriver(it, state, leaderKeyRevision) }
    private val blockedJobs = BlockedJobs(dependencyGraph, core, maxOf(1, settings.txnOps / 2))
    private var loaded = false
    private var countedUs = Long.MIN_VALUE / 2

    init {
        scope.launch { LeaderRecordReader(state, mailbox::tell).run() }
        scope.launch {
            while (isActive) {
                delay(TICK_MS)
                mailbox.tell(LeaderMessage.Tick)
            }
        }
    }

    private fun drainDriver(
        policy: DrainPolicy,
        state: KeyValueStoreClient,
        leaderKeyRevision: Long,
    ): DrainDriver {
        val view = LeaderDrainView(core, clock::now)
        val access =
            DrainRecordAccess(state, owned, listOf(Precondition(OwnershipRecords.LEADER, leaderKeyRevision)), settings.txnOps, state::scan)
        core.taskStopped = { drains?.taskStopped(LeaderDrainView.failure(it, timeOfDayUs())) }
        return DrainDriver(
            policy,
            view,
            DrainRecords(settings.valueBytes),
            access,
            drainActions(view),
            DrainTracing(),
            scope,
            ::timeOfDayUs,
        ) {
            mailbox.tell(LeaderMessage.DrainEvent(it))
        }
    }

    private fun drainActions(view: LeaderDrainView) =
        object : DrainActionHandler {
            override fun evict(tasks: List<RunningTask>) = core.interrupt(view.attemptsOf(tasks))

            override fun provisionReplacement(key: DrainKey) = fleet.requestReplacement(key)

            override fun terminate(machine: String) = fleet.terminate(machine)
        }

    /** How many jobs are open, for the metrics. */
    val openJobs get() = core.jobs.size

    /** Takes a message. */
    fun tell(message: LeaderMessage) = mailbox.tell(message)

    /** The term is over. */
    fun stop() = lifetime.cancel()

    private fun entitled() = authority.heldLeadership()?.term == term

    private fun handle(message: LeaderMessage) {
        val now = clock.now()
        when (message) {
            is LeaderMessage.RecordsLoaded -> load(message, now)
            is LeaderMessage.PartitionFrameReceived -> if (loaded) core.partitionFrameReceived(message.frame, now)
            is LeaderMessage.ProvisionAnswered -> fleet.provisionAnswered(message, now)
            is LeaderMessage.TerminateAnswered -> if (fleet.terminateAnswered(message)) machinesTerminated(message.machines)
            is LeaderMessage.ListAnswered -> fleet.listAnswered(message, now)
            is LeaderMessage.RegistryPagesWritten -> registry.written(message)
            is LeaderMessage.JobMessage -> jobMessage(message, now)
            is LeaderMessage.DrainEvent -> drains?.handle(message.message)
            LeaderMessage.Tick -> Unit
        }
        // While authority pauses, nothing is decided: no start, no hire, no write.
        if (loaded && entitled()) step(now)
    }

    private fun jobMessage(
        message: LeaderMessage.JobMessage,
        now: Long,
    ) {
        when (message) {
            is LeaderMessage.OpenJobsReloaded -> {
                reloaded(message.jobs)
            }

            is LeaderMessage.OpenJobsChanged -> {
                message.added.forEach(::added)
                message.removed.forEach(::closed)
            }

            is LeaderMessage.JobsEnded -> {
                if (loaded) message.jobs.forEach { closed(JobRecordCodec.OPEN + it) }
            }

            LeaderMessage.DependenciesResolved -> {
                if (loaded) release()
            }

            is LeaderMessage.OrphansCancelled -> {
                blockedJobs.orphansCancelled()
                message.jobs.forEach { closed(JobRecordCodec.OPEN + it.spec.id) }
            }

            is LeaderMessage.DoneRangesWritten -> {
                core.rangesWritten(message.deltas, message.ok, now)
                message.deltas.filter { it.job.phase == JobPhase.CLOSED }.forEach { writer.deleteRanges(it.job) }
            }

            is LeaderMessage.CompletionWritten -> {
                finished(message, now)
            }
        }
    }

    private fun step(now: Long) {
        core.tick(now)
        fleet.step(now)
        drains?.step(now)
        registry.step(fleet::cordoned, now)
        blockedJobs.takeOrphans().takeIf { it.isNotEmpty() }?.let(writer::cancel)
        if (now - countedUs < COUNT_US) return
        countedUs = now
        val counts = TaskCounts(term, core.counts())
        (settings.peers.map { it.label } + settings.label).forEach { send(it, counts) }
    }

    private fun load(
        message: LeaderMessage.RecordsLoaded,
        now: Long,
    ) {
        owned.load(message.machines + message.done)
        registry.load(message.machines).forEach { fleet.addRecorded(it, now) }
        // In the order of their submission: the forecast fades what lies back.
        message.jobs.sortedBy { it.value.getLong("at") ?: 0 }.forEach(::added)
        val orphanedRanges = ArrayList<String>()
        for (entry in message.done) {
            val (id, chunk) = entry.key.removePrefix(JobRecordCodec.DONE).split('/')
            val job = core.jobs[id]
            if (job == null) {
                orphanedRanges += entry.key
            } else {
                job.restoreDone(BitSet().also { CompletedTaskRanges.decode(entry.value, chunk.toInt(), it) })
            }
        }
        loaded = true
        release()
        writer.delete(orphanedRanges)
        log.info("leading under term {}: {} jobs, {} machines", term, message.jobs.size, registry.size)
    }

    private fun added(entry: Entry) {
        val spec =
            try {
                JobRecordCodec.decode(entry.value)
            } catch (e: JsonDecodingException) {
                log.error("record {} can't be read: {}", entry.key, e.message)
                return
            }
        if (spec.id in core.jobs) return
        val job = Job(spec, entry.modRevision, steadyUs(spec.submittedUs))
        core.jobAdded(job)
        if (job.ready) {
            fleet.jobReady(job)
        } else {
            blockedJobs.add(job)
            if (loaded) release()
        }
    }

    /** Lets jobs go of which all that they need is recorded as done; their times count from the last of these records. */
    private fun release() =
        blockedJobs.release { job, recordedAtUs ->
            core.jobReady(job, if (recordedAtUs == 0L) clock.now() else steadyUs(recordedAtUs))
            fleet.jobReady(job)
        }

    /** A time of day on this process's steady clock, now at the latest. */
    private fun steadyUs(recordedUs: Long): Long {
        val agoUs = timeOfDayUs() - recordedUs
        return clock.now() - agoUs.coerceAtLeast(0)
    }

    private fun closed(key: String) {
        val job = core.jobs[key.removePrefix(JobRecordCodec.OPEN)] ?: return
        core.jobClosed(job.spec.id)
        writer.deleteRanges(job)
    }

    private fun reloaded(entries: List<Entry>) {
        val there = entries.mapTo(HashSet()) { it.key.removePrefix(JobRecordCodec.OPEN) }
        core.jobs.keys
            .filter { it !in there }
            .forEach { closed(JobRecordCodec.OPEN + it) }
        entries.forEach(::added)
    }

    private fun carryOut(effect: LeaderEffect) {
        when (effect) {
            is LeaderEffect.SendFrame -> authority.ownerOf(effect.partition)?.let { send(it.label, effect.frame) }
            is LeaderEffect.WriteDoneRanges -> writer.writeRanges(effect.deltas)
            is LeaderEffect.RecordCompletion -> writer.finish(effect.job)
        }
    }

    private fun finished(
        message: LeaderMessage.CompletionWritten,
        now: Long,
    ) {
        val job = message.job
        if (message.outcome is TransactionResult.Committed) {
            core.completionRecorded(job, now)
            writer.deleteRanges(job)
        } else {
            core.completionFailed(job)
            if (!message.stillOpen) closed(JobRecordCodec.OPEN + job.spec.id)
        }
    }

    private fun machinesTerminated(machines: List<String>) {
        machines.forEach(core::machineTerminated)
        registry.removed(machines)
    }

    private companion object {
        const val TICK_MS = 100L
        const val COUNT_US = 2_000_000L
    }
}
