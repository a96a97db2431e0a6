package lichenstage.placement

import lichenstage.cluster.MachineState
import lichenstage.cluster.PartitionFrame
import lichenstage.common.MILLI
import lichenstage.common.SECOND
import lichenstage.model.JobRequirements
import org.slf4j.LoggerFactory

/**
 * The leader's decisions: joins jobs ([JobTable]), partitions ([PartitionTable]), machines ([MachineDirectory]), attempts that may be
 * running ([AttemptTracker]), failover ([FailoverRecovery]), reconciliation ([MachineReconciler]), checkpoint stops
 * ([CheckpointStops]), rounds of requests ([RequestRoundRunner]) and what is recorded as done ([CompletionRecorder]).
 *
 * Plain code: events come in with the time, effects go out. A start goes out only for a task of which it is known that no other
 * attempt can be running, and within the limits counted over all that may be running (invariant 11). The work for a frame depends on
 * what it changes; what must look at everything is done once in [SWEEP_INTERVAL_US].
 */
class LeaderCore(
    leadership: LeaderTerm,
    private val settings: LeaderSettings,
    private val lookups: LeaderLookups,
    /** Called for each attempt that ran and ended although its task is not done. */
    private val onAttemptInterrupted: (Attempt) -> Unit = {},
    emit: (LeaderEffect) -> Unit,
) {
    private val log = LoggerFactory.getLogger("lichenstage.placement")

    /** The term of the leadership. */
    val term = leadership.term

    /** How long tasks really run, as completions show. */
    val runTimes = RunTimeEstimates()

    private val partitionTable = PartitionTable(term, settings.assignment) { outbox.resetForNewOwner(it) }
    private val directory = MachineDirectory()
    private val failover = FailoverRecovery(settings.workerLeaseUs) { partitionTable[it] }
    private val jobTable = JobTable(leadership.keyRevision) { failover.isComplete }
    private val unaccountedUse = UnaccountedUse(failover, lookups.capacityOf)
    private val attempts = RunningAttempts(settings.teams)
    private val pipelineDeadlines =
        PipelineDeadlines(settings.objectives, runTimes) { job -> lookups.dependentsOf(job.spec.id).mapNotNull { jobs[it] } }
    private val readiness = ReadinessForecast(runTimes, lookups.fetchUs) { jobs[it] }
    private val queue = JobQueue(settings.objectives, settings.teams, runTimes, pipelineDeadlines = pipelineDeadlines)
    private val checkpointPreemption = CheckpointPreemption(runTimes)
    private val recorder = CompletionRecorder(settings.transactionOperations, settings.placement.recordDelayUs, settings.valueBytes, emit)
    private val outbox = PartitionOutbox(term, OutboxView(), emit)
    private val reconciler = MachineReconciler(partitionTable, jobTable, unaccountedUse, directory::isRegistered, outbox)
    private val tracker =
        AttemptTracker(settings.workerLeaseUs, attempts, runTimes, checkpointPreemption, directory::isRegistered, AttemptEvents())
    private val checkpointStops = CheckpointStops(checkpointPreemption, directory, attempts)
    private val recovery = AttemptRecovery(partitionTable, jobTable, tracker, reconciler)
    private val rounds = requestRounds()

    /** The machines, and what may run on them. */
    val machines = LeaderMachines(directory, partitionTable, attempts, tracker, settings.assignment)
    private var lastSweepAtUs = Long.MIN_VALUE / 2
    private var totalCores = 0.0

    private fun requestRounds(): RequestRoundRunner {
        val zones = ZoneConstraints(settings.assignment)
        val planner = RequestPlanner(settings.placement, settings.objectives, runTimes, zones, lookups.fetchUs)
        return RequestRoundRunner(term, settings.assignment, settings.placement, planner, zones, attempts, outbox, RoundView())
    }

    private inner class OutboxView : OutboxSource {
        override fun partition(id: String) = partitionTable[id]

        override fun requirementsOfJobs(): Map<String, JobRequirements> = jobs.values.associate { it.spec.id to it.spec.requirements }

        override fun addresses(partition: String) = directory.addressesIn(partition)

        override fun isExcludedFromPlacement(machine: String) = !directory.canReceiveTasks(machine)
    }

    private inner class RoundView : RoundContext {
        override fun partition(id: String) = partitionTable[id]

        override fun usableSlots(
            machine: String,
            held: Int,
        ) = directory.usableSlots(machine, held) { attempts.onMachine(machine).size }

        override fun unaccountedUse() = unaccountedUse.total()

        override fun reachablePartitions(nowUs: Long) = partitionTable.reachablePartitions(nowUs)
    }

    private inner class AttemptEvents : AttemptListener {
        override fun onTaskDone(
            job: Job,
            nowUs: Long,
        ) {
            if (job.phase == JobPhase.OPEN) recorder.markUnrecorded(job, nowUs)
        }

        override fun onAttemptEnded(attempt: Attempt) {
            rounds.markChanged()
            val job = attempt.job
            val hasRun = attempt.firstRunningAtUs > 0
            if (hasRun && job.phase == JobPhase.OPEN && !job.doneTasks.get(attempt.index)) onAttemptInterrupted(attempt)
            jobTable.removeIfClosed(job)
        }

        override fun onAttemptSuperseded(attempt: Attempt) = reconciler.reconcileMachineOf(attempt)
    }

    /** Open jobs, and closed ones of which something may still run, by id. */
    val jobs: Map<String, Job> get() = jobTable.byId

    /** What is known of each partition, by its name. */
    val partitions: Map<String, PartitionState> get() = partitionTable.byId

    /** Every registered machine is accounted for, so what isn't known to run doesn't (invariant 5). */
    val isFailoverComplete get() = failover.isComplete

    /** Adds machines that were registered before this term: each has to be accounted for. */
    fun addRecoveredMachines(machines: Collection<RecoveredMachine>) {
        directory.register(machines.associate { it.name to it.partition })
        machines.forEach {
            failover.awaitMachine(it)
            it.address?.let { address -> directory.setAddress(it.name, address) }
        }
    }

    /** These machines, each with its partition, have a record from now on. */
    fun onMachinesRegistered(machines: Map<String, String>) {
        directory.register(machines)
        rounds.markChanged()
        machines.forEach { (name, partition) -> recovery.recoverAttemptsOn(name, partition) }
    }

    /** Requests that these attempts are stopped, with time to save a checkpoint where they can. */
    fun requestStops(attemptsToStop: Collection<Attempt>) = checkpointPreemption.requestStop(attemptsToStop)

    /** How long an attempt is expected to go on, in microseconds. */
    fun remainingUs(
        attempt: Attempt,
        nowUs: Long,
    ) = checkpointPreemption.remainingUs(attempt, nowUs)

    /** For display: done and running tasks of each open job. */
    fun taskCounts(): Map<String, List<Int>> = jobTable.taskCounts()

    /** A job has been accepted, or was read from its record. */
    fun addJob(job: Job) {
        if (!jobTable.add(job)) return
        queue.onJobAdded(job)
        rounds.markChanged()
        jobTable.enqueueIfPlaceable(job)
        if (!jobTable.isFromThisTerm(job)) recovery.recoverAttemptsOf(job)
        if (job.allTasksDone) recorder.markUnrecorded(job, Long.MIN_VALUE / 2)
    }

    /** All dependencies of the job are recorded as done, since [atUs]. */
    fun onJobReady(
        job: Job,
        atUs: Long,
    ) {
        if (job.isReady || job.phase == JobPhase.CLOSED) return
        job.markReady(atUs)
        jobTable.enqueueIfPlaceable(job)
        queue.markOrderStale()
        rounds.markChanged()
    }

    /** When jobs with open dependencies are expected to be ready, as of [nowUs]. */
    fun expectedReadiness(nowUs: Long) = readiness.Snapshot(nowUs)

    /** The record of the job was deleted: it is cancelled, or done by what an earlier leader wrote. */
    fun onJobClosed(id: String) {
        val job = jobs[id] ?: return
        if (job.phase == JobPhase.CLOSED) return
        job.pendingTasks.clear()
        closeJob(job)
    }

    private fun closeJob(job: Job) {
        job.phase = JobPhase.CLOSED
        recorder.onCompletionRecorded(job)
        reconciler.reconcileMachinesOf(job)
        jobTable.removeIfClosed(job)
    }

    /** A frame of a partition's owner; ignored where it is older than what is known. */
    fun onPartitionFrame(
        frame: PartitionFrame,
        nowUs: Long,
    ) {
        val state = partitionTable.acceptFrame(frame, nowUs) ?: return
        val partition = PartitionRef(frame.partition, state)
        tracker.updateTime(nowUs)
        frame.machines.filter { !directory.isTerminated(it.name) }.forEach { applyMachineState(partition, it, nowUs) }
        frame.offers.forEach { rounds.addOffer(frame.partition, it, nowUs) }
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
        rounds.markChanged()
        outbox.markDue(partition.id)
        for (task in delta.tasks) jobs[task.job]?.let { tracker.onTaskListed(partition, machine, task, it, nowUs) }
        val onMachine = attempts.onMachine(machine.name).asSequence().filter { it.partition == partition.id }
        tracker.endAbsentAttempts(onMachine) { partitionTable[it] }
        reconciler.reconcile(partition.id, machine)
    }

    /** The cloud has confirmed the termination of the machine: all that ran there has ended. */
    fun onMachineTerminated(name: String) {
        tracker.endLostAttempts(attempts.onMachine(name).toList())
        tracker.failedJobsByMachine.remove(name)
        partitions.forEach { (id, partition) ->
            partition.machines.remove(name)
            outbox.removeMachine(id, name)
        }
        unaccountedUse.remove(name)
        checkpointPreemption.onMachineTerminated(name)
        directory.markTerminated(name)
        failover.onMachineTerminated(name)
        updateFailover()
    }

    private fun updateFailover() {
        if (!failover.checkCompletion()) return
        log.info("Failover complete, every machine is accounted for term={} jobs={}", term, jobs.size)
        jobTable.enqueueAllReady()
        rounds.markChanged()
    }

    /** Machines whose termination would complete the failover. */
    fun machinesToFence() = failover.machinesToFence(directory.size)

    /** Time has passed. */
    fun tick(nowUs: Long) {
        if (nowUs - lastSweepAtUs >= SWEEP_INTERVAL_US) sweep(nowUs)
        rounds.tick(nowUs) { queue.sortWaitingJobs(jobs.values, { totalCores }, nowUs) }
        recorder.writeDueCompletions(nowUs)
        settings.assignment.partitions
            .filter { outbox.isDue(it, nowUs) }
            .forEach { outbox.send(it, nowUs) }
    }

    /** Looks at everything: leases expire with time alone, and a frame that was lost leaves no other trace. */
    private fun sweep(nowUs: Long) {
        lastSweepAtUs = nowUs
        tracker.updateTime(nowUs)
        updateFailover()
        tracker.endAbsentAttempts(attempts.all()) { partitionTable[it] }
        totalCores = partitionTable.totalCores { lookups.capacityOf(it)?.cores ?: 0.0 }
        outbox.setSaveCommands(checkpointStops.commandsByPartition(nowUs))
    }

    /** The transaction with [deltas] is committed, where [ok]; workers may now forget these tasks (invariant 9). */
    fun onRangesWritten(
        deltas: List<CompletionDelta>,
        ok: Boolean,
        nowUs: Long,
    ) {
        recorder.onRangesWritten(deltas, ok, nowUs)
        if (ok) deltas.forEach { if (it.job.phase == JobPhase.OPEN) reconciler.reconcileMachinesOf(it.job) }
    }

    /** The completion of the job is recorded. */
    fun onCompletionRecorded(
        job: Job,
        nowUs: Long,
    ) {
        log.info(
            "Job completed job={} class={} tasks={} allPlacedAfterMs={} runningAfterMs={} completedAfterMs={}",
            job.spec.id,
            job.spec.jobClass,
            job.spec.tasks,
            (job.lastPlacedAtUs - job.readyAtUs).coerceAtLeast(0) / MILLI,
            (job.lastRunningAtUs - job.readyAtUs).coerceAtLeast(0) / MILLI,
            (nowUs - job.readyAtUs) / MILLI,
        )
        job.isCompletionWriteInFlight = false
        closeJob(job)
    }

    /** The completion of the job could not be recorded. */
    fun onCompletionFailed(job: Job) {
        job.isCompletionWriteInFlight = false
    }

    private companion object {
        const val SWEEP_INTERVAL_US = SECOND
    }
}
