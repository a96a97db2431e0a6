package lichenstage.placement

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.plus
import lichenstage.cluster.TaskCounts
import lichenstage.common.Mailbox
import lichenstage.common.timeOfDayUs
import lichenstage.config.Settings
import lichenstage.drain.DrainDriver
import lichenstage.model.MachineFit
import lichenstage.state.SingleWriterKeys
import org.slf4j.LoggerFactory
import kotlinx.coroutines.Job as CoroutineJob

/** One term of leadership: loads the records, then places jobs and provisions machines until the term ends. */
class LeaderActor(
    private val settings: Settings,
    options: LeaderOptions,
    private val services: LeaderServices,
    private val leadership: LeaderTerm,
    parent: CoroutineScope,
) {
    private val log = LoggerFactory.getLogger("lichenstage.placement")
    private val lifetime: CoroutineJob = SupervisorJob(parent.coroutineContext[CoroutineJob])
    private val scope = parent + lifetime
    private val objectives = ServiceObjectives(settings.objectives)
    private val core = leaderCore(options)
    private val mailbox =
        Mailbox("leader", scope, ::handle, shed = { it is LeaderMessage.PartitionFrameReceived || it is LeaderMessage.Tick })
    private val ownKeys = SingleWriterKeys(services.store)
    private val writer =
        LeaderRecordWriter(
            services.store,
            ownKeys,
            leadership.keyRevision,
            settings.txnOps,
            scope,
            services.replicaSync::jobFinished,
            mailbox::tell,
        )
    private val registry = MachineRegistryDriver(settings, core, writer)
    private val fleet = fleetDriver(options)
    private val drains: DrainDriver? = drainDriver(options)
    private val jobRecords = LeaderJobRecords(services, core, fleet, writer, maxOf(1, settings.txnOps / 2))
    private var countedUs = Long.MIN_VALUE / 2

    init {
        scope.launch { LeaderRecordReader(services.store, mailbox::tell).run() }
        scope.launch {
            while (isActive) {
                delay(TICK_MS)
                mailbox.tell(LeaderMessage.Tick)
            }
        }
    }

    /** The term of the leadership. */
    val term get() = leadership.term

    /** How many jobs are open, for the metrics. */
    val openJobs get() = core.jobs.size

    private fun leaderCore(options: LeaderOptions): LeaderCore {
        val catalog = services.catalog
        return LeaderCore(
            leadership,
            LeaderSettings(
                settings.assignment,
                settings.teams,
                settings.workerLeaseUs,
                options.placementSettings,
                objectives,
                settings.txnOps,
                settings.valueBytes,
            ),
            LeaderLookups(
                { catalog.machineTypes[it]?.capacity },
                { MachineFit.maxFetchUs(it, catalog.machineTypes) },
                services.dependencyGraph::dependentsOf,
            ),
            { drains?.onTaskStopped(LeaderDrainView.failure(it, timeOfDayUs())) },
            ::execute,
        )
    }

    private fun fleetDriver(options: LeaderOptions): FleetDriver {
        val observer = FleetObserver(settings, core, services.catalog, objectives)
        val caller = CloudCaller(services.cloud, settings.cloudRps, scope, mailbox::tell)
        return FleetDriver(settings, core, observer, caller, options.fleet, services.clock.now()) { drains }
    }

    private fun drainDriver(options: LeaderOptions): DrainDriver? {
        val policy = options.drains ?: return null
        val store = LeaderDrains.store(services.store, ownKeys, leadership.keyRevision, settings)
        return LeaderDrains(core, fleet, services.clock::now)
            .driver(policy, store, scope) { mailbox.tell(LeaderMessage.DrainEvent(it)) }
    }

    /** Puts a message into the inbox. */
    fun tell(message: LeaderMessage) = mailbox.tell(message)

    /** Ends the term: nothing of it goes on. */
    fun stop() = lifetime.cancel()

    private fun mayAct() = services.authority.heldLeadership()?.term == term

    private fun handle(message: LeaderMessage) {
        val now = services.clock.now()
        when (message) {
            is LeaderMessage.RecordsLoaded -> load(message, now)
            is LeaderMessage.PartitionFrameReceived -> if (jobRecords.isLoaded) core.onPartitionFrame(message.frame, now)
            is LeaderMessage.ProvisionAnswered -> fleet.provisionAnswered(message, now)
            is LeaderMessage.TerminateAnswered -> if (fleet.terminateAnswered(message)) machinesTerminated(message.machines)
            is LeaderMessage.ListAnswered -> fleet.listAnswered(message, now)
            is LeaderMessage.RegistryPagesWritten -> registry.onChunksWritten(message)
            is LeaderMessage.JobMessage -> jobRecords.handle(message, now)
            is LeaderMessage.DrainEvent -> drains?.handle(message.message)
            LeaderMessage.Tick -> Unit
        }
        // While authority pauses, nothing is decided: no start, no provision request, no write.
        if (jobRecords.isLoaded && mayAct()) step(now)
    }

    private fun step(now: Long) {
        core.tick(now)
        fleet.step(now)
        drains?.step(now)
        registry.step(fleet::cordoned, now)
        jobRecords.cancelOrphans()
        if (now - countedUs >= COUNT_INTERVAL_US) sendTaskCounts(now)
    }

    private fun sendTaskCounts(now: Long) {
        countedUs = now
        val counts = TaskCounts(term, core.taskCounts())
        (settings.peers.map { it.label } + settings.label).forEach { services.send(it, counts) }
    }

    private fun load(
        message: LeaderMessage.RecordsLoaded,
        now: Long,
    ) {
        ownKeys.load(message.machines + message.done)
        registry.load(message.machines).forEach { fleet.addRecorded(it, now) }
        jobRecords.load(message.jobs, message.done)
        log.info("Leadership begun, records loaded term={} jobs={} machines={}", term, message.jobs.size, registry.size)
    }

    private fun execute(effect: LeaderEffect) {
        when (effect) {
            is LeaderEffect.SendFrame -> services.authority.ownerOf(effect.partition)?.let { services.send(it.label, effect.frame) }
            is LeaderEffect.WriteDoneRanges -> writer.writeRanges(effect.deltas)
            is LeaderEffect.RecordCompletion -> writer.recordCompletion(effect.job)
        }
    }

    private fun machinesTerminated(machines: List<String>) {
        machines.forEach(core::onMachineTerminated)
        registry.onMachinesRemoved(machines)
    }

    private companion object {
        const val TICK_MS = 100L
        const val COUNT_INTERVAL_US = 2_000_000L
    }
}
