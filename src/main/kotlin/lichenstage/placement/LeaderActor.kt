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
import lichenstage.state.TransactionLimits
import org.slf4j.LoggerFactory
import kotlinx.coroutines.Job as CoroutineJob

/** The actor of one term of leadership. Loads the records, then places jobs and provisions machines until the term ends. */
class LeaderActor(
    private val settings: Settings,
    options: LeaderOptions,
    private val services: LeaderServices,
    private val leadership: LeaderTerm,
    parent: CoroutineScope,
) {
    private val log = LoggerFactory.getLogger("lichenstage.placement")
    private val supervisor: CoroutineJob = SupervisorJob(parent.coroutineContext[CoroutineJob])
    private val scope = parent + supervisor
    private val serviceObjectives = ServiceObjectives(settings.objectives)
    private val core = createLeaderCore(options)
    private val mailbox =
        Mailbox("leader", scope, ::handle, tryDrop = { it is LeaderMessage.PartitionFrameReceived || it is LeaderMessage.Tick })
    private val singleWriterKeys = SingleWriterKeys(services.store, TransactionLimits(settings.maxTransactionOperations))
    private val recordWriter =
        LeaderRecordWriter(
            services.store,
            singleWriterKeys,
            leadership.leaderKeyRevision,
            scope,
            services.replicaSync::onJobFinished,
            mailbox::tell,
        )
    private val registryDriver = DurableMachineRegistryDriver(settings, core, recordWriter)
    private val fleetDriver = createFleetDriver(options)
    private val drainDriver: DrainDriver? = createDrainDriver(options)
    private val jobRecordHandler =
        LeaderJobRecordHandler(
            services,
            core,
            fleetDriver,
            recordWriter,
            (settings.maxTransactionOperations / 2).coerceIn(1, MAX_CANCELLATIONS_PER_TRANSACTION),
        )
    private var lastCountsSentAtUs = Long.MIN_VALUE / 2

    init {
        scope.launch { LeaderRecordReader(services.store, mailbox::tell).run() }
        scope.launch {
            while (isActive) {
                delay(TICK_MS)
                mailbox.tell(LeaderMessage.Tick)
            }
        }
    }

    /** The number of this term. */
    val term get() = leadership.term

    /** The number of open jobs, and of closed jobs with attempts that may still be running, for the metrics. */
    val openJobCount get() = core.jobs.size

    /** The number of machines on which tasks have failed and that are not known to be sound, for the metrics. */
    val unsoundMachineCount get() = core.failureHistory.unsoundMachineCount(services.clock.now())

    /** The number of jobs that are probably mistaken, for the metrics. */
    val mistakenJobCount get() = core.failureHistory.mistakenJobCount(services.clock.now())

    private fun createLeaderCore(options: LeaderOptions): LeaderCore {
        val catalog = services.catalog
        return LeaderCore(
            leadership,
            LeaderSettings(
                settings.assignment,
                settings.teams,
                settings.workerLeaseUs,
                options.placementSettings,
                serviceObjectives,
                settings.maxTransactionOperations,
                minOf(settings.maxValueBytes, TransactionLimits(settings.maxTransactionOperations).maxValueBytes),
            ),
            LeaderLookups(
                { catalog.machineTypes[it]?.capacity },
                { MachineFit.maxFetchUs(it, catalog.machineTypes) },
                services.dependencyGraph::dependentsOf,
            ),
            { drainDriver?.onTaskStopped(LeaderDrainView.failureInterruption(it, timeOfDayUs())) },
            ::execute,
        )
    }

    private fun createFleetDriver(options: LeaderOptions): FleetDriver {
        val observer = FleetObserver(settings, core, services.catalog, serviceObjectives)
        val caller = CloudCaller(services.cloud, settings.cloudRps, scope, mailbox::tell)
        return FleetDriver(settings, core, observer, caller, options.fleetPolicy, services.clock.now()) { drainDriver }
    }

    private fun createDrainDriver(options: LeaderOptions): DrainDriver? {
        val policy = options.drainPolicy ?: return null
        val recordAccess = DrainDriverFactory.createRecordAccess(services.store, singleWriterKeys, leadership.leaderKeyRevision, settings)
        return DrainDriverFactory(core, fleetDriver, services.clock::now)
            .createDriver(policy, recordAccess, scope) { mailbox.tell(LeaderMessage.DrainMessageReceived(it)) }
    }

    /** Adds a message to the mailbox. */
    fun tell(message: LeaderMessage) = mailbox.tell(message)

    /** Ends the term by cancelling all of its coroutines. */
    fun stop() = supervisor.cancel()

    private fun hasLeadership() = services.authority.currentLeadership()?.term == term

    private fun handle(message: LeaderMessage) {
        val nowUs = services.clock.now()
        when (message) {
            is LeaderMessage.RecordsLoaded -> onRecordsLoaded(message, nowUs)
            is LeaderMessage.PartitionFrameReceived -> if (jobRecordHandler.isLoaded) core.onPartitionFrame(message.frame, nowUs)
            is LeaderMessage.ProvisionReplyReceived -> fleetDriver.onProvisionReply(message, nowUs)
            is LeaderMessage.TerminateReplyReceived -> if (fleetDriver.onTerminateReply(message)) onMachinesTerminated(message.machines)
            is LeaderMessage.MachineListReceived -> fleetDriver.onMachineListReceived(message, nowUs)
            is LeaderMessage.RegistryChunksWritten -> registryDriver.onChunksWritten(message)
            is LeaderMessage.JobMessage -> jobRecordHandler.handle(message, nowUs)
            is LeaderMessage.DrainMessageReceived -> drainDriver?.handle(message.message)
            LeaderMessage.Tick -> Unit
        }
        // While authority is paused, the leader decides nothing: it starts no task, sends no provision request and writes no record.
        if (jobRecordHandler.isLoaded && hasLeadership()) step(nowUs)
    }

    private fun step(nowUs: Long) {
        core.tick(nowUs)
        fleetDriver.step(nowUs)
        drainDriver?.step(nowUs)
        registryDriver.step(fleetDriver::cordonedMachines, nowUs)
        jobRecordHandler.cancelUnrunnableJobs()
        if (nowUs - lastCountsSentAtUs >= TASK_COUNTS_INTERVAL_US) sendTaskCounts(nowUs)
    }

    private fun sendTaskCounts(nowUs: Long) {
        lastCountsSentAtUs = nowUs
        val counts = TaskCounts(term, core.taskCounts())
        (settings.peers.map { it.label } + settings.label).forEach { services.send(it, counts) }
    }

    private fun onRecordsLoaded(
        message: LeaderMessage.RecordsLoaded,
        nowUs: Long,
    ) {
        singleWriterKeys.load(message.registryChunks + message.completionChunks)
        registryDriver.load(message.registryChunks).forEach { fleetDriver.addRecorded(it, nowUs) }
        jobRecordHandler.load(message.openJobs, message.completionChunks)
        log.info("Leadership begun, records loaded term={} jobs={} machines={}", term, message.openJobs.size, registryDriver.size)
    }

    private fun execute(effect: LeaderEffect) {
        when (effect) {
            is LeaderEffect.SendFrame -> services.authority.ownerOf(effect.partition)?.let { services.send(it.label, effect.frame) }
            is LeaderEffect.WriteCompletionChunks -> recordWriter.writeCompletionChunks(effect.deltas)
            is LeaderEffect.RecordJobCompletion -> recordWriter.recordJobCompletion(effect.job)
        }
    }

    private fun onMachinesTerminated(machines: List<String>) {
        machines.forEach(core::onMachineTerminated)
        registryDriver.onMachinesRemoved(machines)
    }

    private companion object {
        const val TICK_MS = 100L

        /** Each cancellation has two changes and a precondition, which take less than 1 KiB together. */
        const val MAX_CANCELLATIONS_PER_TRANSACTION = 60
        const val TASK_COUNTS_INTERVAL_US = 2_000_000L
    }
}
