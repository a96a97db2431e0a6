package lichenstage.placement

import lichenstage.cluster.MachineState
import lichenstage.cluster.PartitionFrame
import lichenstage.common.SECOND
import lichenstage.state.WriteOutcome
import org.slf4j.LoggerFactory

/**
 * The decision logic of the leader, without I/O or a clock of its own: callers pass events with the current time, and the decisions
 * leave as [LeaderEffect]s.
 *
 * The class connects the parts: jobs ([JobTable]), partitions ([PartitionTable]), machines ([MachineDirectory]), attempts that may be
 * running ([AttemptTracker]), failover ([FailoverRecovery]), reconciliation ([MachineReconciler]), stops with a checkpoint
 * ([CheckpointStops]), rounds of placement requests ([RequestRoundRunner]) and the recording of completions ([CompletionRecorder]).
 *
 * The leader starts a task only if no other attempt of the task can be running. It stays within the team limits, which count all
 * attempts that may be running (invariant 11). The cost of handling a frame depends on the changes in the frame; work that goes through
 * all machines or attempts is done once per [SWEEP_INTERVAL_US].
 */
class LeaderCore(
    leadership: LeaderTerm,
    private val settings: LeaderSettings,
    private val lookups: LeaderLookups,
    /** Called when an attempt that was running has ended while its task is not done and its job is still open. */
    private val onAttemptInterrupted: (Attempt) -> Unit = {},
    emit: (LeaderEffect) -> Unit,
) {
    private val log = LoggerFactory.getLogger("lichenstage.placement")

    /** The term of this leadership; it never changes. */
    val term = leadership.term

    /** Run time estimates, learned from the tasks that have completed. */
    val runTimes = RunTimeEstimates()

    private val partitionTable = PartitionTable(term, settings.assignment) { outbox.resetForNewOwner(it) }
    private val directory = MachineDirectory()
    private val failoverRecovery = FailoverRecovery(settings.workerLeaseUs) { partitionTable[it] }
    private val jobTable = JobTable(leadership.leaderKeyRevision) { failoverRecovery.isComplete }
    private val unaccountedUse = UnaccountedUse(failoverRecovery, lookups.capacityOf)
    private val runningAttempts = RunningAttempts(settings.teams)
    private val pipelineDeadlines =
        PipelineDeadlines(settings.serviceObjectives, runTimes) { job -> lookups.dependentsOf(job.spec.id).mapNotNull { jobs[it] } }
    private val readinessForecast = ReadinessForecast(runTimes, lookups.fetchUs) { jobs[it] }
    private val jobQueue = JobQueue(settings.serviceObjectives, settings.teams, runTimes, pipelineDeadlines = pipelineDeadlines)
    private val checkpointPreemption = CheckpointPreemption(runTimes)
    internal val failureHistory = FailureHistory()
    private val completionRecorder =
        CompletionRecorder(settings.maxChangesPerTransaction, settings.placementSettings.recordDelayUs, settings.maxValueBytes, emit)
    private val outbox: PartitionOutbox = PartitionOutbox(term, LeaderOutboxSource(partitionTable, jobTable, directory), emit)
    private val reconciler = MachineReconciler(partitionTable, jobTable, unaccountedUse, directory::isRegistered, outbox)
    private val attemptTracker =
        AttemptTracker(
            settings.workerLeaseUs,
            runningAttempts,
            runTimes,
            checkpointPreemption,
            failureHistory,
            directory::isRegistered,
            AttemptEvents(),
        )
    private val checkpointStops = CheckpointStops(checkpointPreemption, directory, runningAttempts)
    private val attemptRecovery = AttemptRecovery(partitionTable, jobTable, attemptTracker, reconciler)
    private val roundRunner = createRoundRunner()

    /** The view of the machines and of the attempts on them for the registry, the fleet and drains. */
    val machines = LeaderMachines(directory, partitionTable, runningAttempts, failureHistory, settings.assignment)
    private var lastSweepAtUs = Long.MIN_VALUE / 2
    private var totalCores = 0.0

    private fun createRoundRunner(): RequestRoundRunner {
        val zones = ZoneConstraints(settings.assignment)
        val planner = RequestPlanner(settings.placementSettings, settings.serviceObjectives, runTimes, zones, lookups.fetchUs)
        return RequestRoundRunner(
            term,
            settings.assignment,
            settings.placementSettings,
            planner,
            zones,
            runningAttempts,
            outbox,
            LeaderRoundContext(partitionTable, directory, runningAttempts, unaccountedUse, failureHistory),
        )
    }

    private inner class AttemptEvents : AttemptListener {
        override fun onTaskDone(
            job: Job,
            nowUs: Long,
        ) {
            if (job.phase == JobPhase.OPEN) completionRecorder.markUnrecorded(job, nowUs)
        }

        override fun onAttemptEnded(attempt: Attempt) {
            roundRunner.markChanged()
            val job = attempt.job
            val hasRun = attempt.startedRunningAtUs > 0
            if (hasRun && job.phase == JobPhase.OPEN && !job.doneTasks.get(attempt.index)) onAttemptInterrupted(attempt)
            jobTable.removeIfClosed(job)
        }

        override fun onAttemptSuperseded(attempt: Attempt) = reconciler.reconcileMachineOf(attempt)
    }

    /** Open jobs, and closed jobs with attempts that may still be running, by job id. */
    val jobs: Map<String, Job> get() = jobTable.byId

    /** The latest state of each partition that has sent a frame, by partition name. */
    val partitions: Map<String, PartitionState> get() = partitionTable.byId

    /** Whether every registered machine is accounted for. From then on, a task without a known attempt is not running (invariant 5). */
    val isFailoverComplete get() = failoverRecovery.isComplete

    /** Adds machines that were registered before this term. The failover completes only when each of them is accounted for. */
    fun addRecoveredMachines(machines: Collection<RecoveredMachine>) {
        directory.register(machines.associate { it.name to it.partition })
        machines.forEach {
            failoverRecovery.awaitMachine(it)
            it.address?.let { address -> directory.setAddress(it.name, address) }
        }
    }

    /** Handles the registration of [machines], a map from machine name to partition name. */
    fun onMachinesRegistered(machines: Map<String, String>) {
        directory.register(machines)
        roundRunner.markChanged()
        machines.forEach { (name, partition) -> attemptRecovery.recoverAttemptsOn(name, partition) }
    }

    /** Requests a stop of these attempts. Tasks that can save a checkpoint get the time to do so. */
    fun requestStops(attemptsToStop: Collection<Attempt>) = checkpointPreemption.requestStops(attemptsToStop)

    /** Returns the expected remaining run time of an attempt in microseconds. */
    fun remainingUs(
        attempt: Attempt,
        nowUs: Long,
    ) = checkpointPreemption.remainingUs(attempt, nowUs)

    /** Returns the numbers of done tasks and of tasks in progress of each open job, for display to users. */
    fun taskCounts(): Map<String, List<Int>> = jobTable.taskCounts()

    /** Adds a job that was just accepted or was read from its record. Does nothing if the job is already present. */
    fun addJob(job: Job) {
        if (!jobTable.add(job)) return
        jobQueue.onJobAdded(job)
        roundRunner.markChanged()
        jobTable.enqueueIfPlaceable(job)
        if (!jobTable.isFromThisTerm(job)) attemptRecovery.recoverAttemptsOf(job)
        if (job.allTasksDone) completionRecorder.markUnrecorded(job, Long.MIN_VALUE / 2)
    }

    /** Handles a job whose last dependency was recorded as done at [recordedAtUs]. Queues the tasks if they may be placed. */
    fun onJobReady(
        job: Job,
        recordedAtUs: Long,
    ) {
        if (job.isReady || job.phase == JobPhase.CLOSED) return
        job.markReady(recordedAtUs)
        jobTable.enqueueIfPlaceable(job)
        jobQueue.markOrderStale()
        roundRunner.markChanged()
    }

    /** Returns a forecast, made at [nowUs], of when jobs with open dependencies will be ready. */
    fun expectedReadiness(nowUs: Long) = readinessForecast.Snapshot(nowUs)

    /** Handles the deletion of the job's open record: the job was cancelled, or an earlier leader recorded its completion. */
    fun onJobClosed(id: String) {
        val job = jobs[id] ?: return
        if (job.phase == JobPhase.CLOSED) return
        job.pendingTasks.clear()
        closeJob(job)
    }

    private fun closeJob(job: Job) {
        job.phase = JobPhase.CLOSED
        completionRecorder.onJobClosed(job)
        failureHistory.onJobClosed(job)
        reconciler.reconcileMachinesOf(job)
        jobTable.removeIfClosed(job)
    }

    /** Applies a frame of a partition's owner. A frame that [PartitionTable.acceptFrame] rejects, e.g. an outdated one, is ignored. */
    fun onPartitionFrame(
        frame: PartitionFrame,
        nowUs: Long,
    ) {
        val state = partitionTable.acceptFrame(frame, nowUs) ?: return
        val partition = PartitionRef(frame.partition, state)
        attemptTracker.updateTime(nowUs)
        frame.machines.filter { !directory.isTerminated(it.name) }.forEach { applyMachineState(partition, it, nowUs) }
        frame.offers.forEach { roundRunner.addOffer(frame.partition, it, nowUs) }
        updateFailover()
    }

    private fun applyMachineState(
        partition: PartitionRef,
        delta: MachineState,
        nowUs: Long,
    ) {
        val machine = delta.applyTo(partition.state.machines[delta.name])
        partition.state.machines[machine.name] = machine
        directory.setAddress(machine.name, machine.address)
        checkpointPreemption.onMachineUpdate(machine, nowUs)
        roundRunner.markChanged()
        outbox.markDue(partition.id)
        for (task in delta.tasks) jobs[task.job]?.let { attemptTracker.onTaskListed(partition, machine, task, it, nowUs) }
        val onMachine = runningAttempts.onMachine(machine.name).asSequence().filter { it.partition == partition.id }
        attemptTracker.endAbsentAttempts(onMachine) { partitionTable[it] }
        reconciler.reconcile(partition.id, machine)
    }

    /** Handles the termination of a machine, confirmed by the cloud: every attempt on the machine has ended. */
    fun onMachineTerminated(name: String) {
        attemptTracker.endLostAttempts(runningAttempts.onMachine(name).toList())
        failureHistory.onMachineTerminated(name)
        partitions.forEach { (id, partition) ->
            partition.machines.remove(name)
            outbox.removeMachine(id, name)
        }
        unaccountedUse.remove(name)
        checkpointPreemption.onMachineTerminated(name)
        directory.markTerminated(name)
        failoverRecovery.onMachineTerminated(name)
        updateFailover()
    }

    private fun updateFailover() {
        if (!failoverRecovery.checkCompletion()) return
        log.info("Failover complete term={} jobs={}", term, jobs.size)
        jobTable.enqueueAllReady()
        roundRunner.markChanged()
    }

    /** Returns the machines that should be terminated because the failover waits for them (see [FailoverRecovery.machinesToFence]). */
    fun machinesToFence() = failoverRecovery.machinesToFence(directory.size)

    /** Does the work that is due at [nowUs]: the sweep, rounds of placement requests, records and frames to partitions. */
    fun tick(nowUs: Long) {
        if (nowUs - lastSweepAtUs >= SWEEP_INTERVAL_US) sweep(nowUs)
        roundRunner.tick(nowUs) { jobQueue.sortWaitingJobs(jobs.values, { totalCores }, nowUs) }
        completionRecorder.writeDueCompletions(nowUs)
        settings.assignment.partitions
            .filter { outbox.isDue(it, nowUs) }
            .forEach { outbox.send(it, nowUs) }
    }

    /**
     * Does the checks that go through all machines or attempts. No frame announces the expiry of a lease or the loss of an earlier frame,
     * so the sweep has to detect the attempts that ended because of them.
     */
    private fun sweep(nowUs: Long) {
        lastSweepAtUs = nowUs
        attemptTracker.updateTime(nowUs)
        updateFailover()
        attemptTracker.endAbsentAttempts(runningAttempts.all()) { partitionTable[it] }
        totalCores = partitionTable.totalCores { lookups.capacityOf(it)?.cores ?: 0.0 }
        outbox.setCheckpointStops(checkpointStops.takeDueCommandsByPartition(nowUs))
    }

    /**
     * Handles the outcome of the write that records [deltas]. If it is committed, the workers may clear these tasks (invariant 9).
     */
    fun onCompletionChunksWritten(
        deltas: List<CompletionDelta>,
        outcome: WriteOutcome,
        nowUs: Long,
    ) {
        completionRecorder.onCompletionChunksWritten(deltas, outcome, nowUs)
        if (outcome == WriteOutcome.COMMITTED) deltas.forEach { if (it.job.phase == JobPhase.OPEN) reconciler.reconcileMachinesOf(it.job) }
    }

    /** Handles the successful write of the job's completion: logs the job's times and closes it. */
    fun onCompletionRecorded(
        job: Job,
        nowUs: Long,
    ) {
        log.info("Job completed {}", job.describeTimes(nowUs))
        job.isCompletionWriteInFlight = false
        jobTable.markComplete(job.spec.id)
        closeJob(job)
    }

    /** Handles a failed write of the job's completion: [CompletionRecorder] tries again. */
    fun onCompletionWriteFailed(job: Job) {
        job.isCompletionWriteInFlight = false
    }

    private companion object {
        const val SWEEP_INTERVAL_US = SECOND
    }
}
