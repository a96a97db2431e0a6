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
 * what it changes; what must look at everything is done once in [SWEEP_US].
 */
class LeaderCore(
    leadership: LeaderTerm,
    private val settings: LeaderSettings,
    private val lookups: LeaderLookups,
    /** Called for each attempt that ran and ended although its task is not done. */
    private val attemptInterrupted: (Attempt) -> Unit = {},
    emit: (LeaderEffect) -> Unit,
) {
    private val log = LoggerFactory.getLogger("lichenstage.placement")

    /** The term of the leadership. */
    val term = leadership.term

    /** How long tasks really run, as completions show. */
    val runTimes = RunTimeEstimates()

    private val partitionTable = PartitionTable(term, settings.assignment) { outbox.newOwner(it) }
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
    private var sweptUs = Long.MIN_VALUE / 2
    private var totalCores = 0.0

    private fun requestRounds(): RequestRoundRunner {
        val zones = ZoneConstraints(settings.assignment)
        val planner = RequestPlanner(settings.placement, settings.objectives, runTimes, zones, lookups.fetchUs)
        return RequestRoundRunner(term, settings.assignment, settings.placement, planner, zones, attempts, outbox, RoundView())
    }

    private inner class OutboxView : OutboxSource {
        override fun partition(id: String) = partitionTable[id]

        override fun requirementsOfJobs(): Map<String, JobRequirements> = jobs.values.associate { it.spec.id to it.spec.requirements }

        override fun addresses(partition: String) = directory.addresses(partition)

        override fun takesNoTasks(machine: String) = !directory.mayGetTasks(machine)
    }

    private inner class RoundView : RoundContext {
        override fun partition(id: String) = partitionTable[id]

        override fun usableSlots(
            machine: String,
            held: Int,
        ) = directory.usableSlots(machine, held) { attempts.on(machine).size }

        override fun unaccountedUse() = unaccountedUse.resources()

        override fun reachablePartitions(nowUs: Long) = partitionTable.reachable(nowUs)
    }

    private inner class AttemptEvents : AttemptListener {
        override fun taskDone(
            job: Job,
            now: Long,
        ) {
            if (job.phase == JobPhase.OPEN) recorder.markUnrecorded(job, now)
        }

        override fun attemptEnded(attempt: Attempt) {
            rounds.markChanged()
            val job = attempt.job
            val ran = attempt.runningUs > 0
            if (ran && job.phase == JobPhase.OPEN && !job.done.get(attempt.index)) attemptInterrupted(attempt)
            jobTable.removeIfClosed(job)
        }

        override fun attemptSuperseded(attempt: Attempt) = reconciler.reconcileMachineOf(attempt)
    }

    /** Open jobs, and closed ones of which something may still run, by id. */
    val jobs: Map<String, Job> get() = jobTable.byId

    /** What is known of each partition, by its name. */
    val partitions: Map<String, PartitionState> get() = partitionTable.byId

    /** Every registered machine is accounted for, so what isn't known to run doesn't (invariant 5). */
    val failoverComplete get() = failover.isComplete

    /** Adds machines that were registered before this term: each has to be accounted for. */
    fun addRecoveredMachines(machines: Collection<RecoveredMachine>) {
        directory.register(machines.associate { it.name to it.partition })
        machines.forEach {
            failover.await(it)
            it.address?.let { address -> directory.setAddress(it.name, address) }
        }
    }

    /** These machines, each with its partition, have a record from now on. */
    fun machinesRegistered(machines: Map<String, String>) {
        directory.register(machines)
        rounds.markChanged()
        machines.forEach { (name, partition) -> recovery.recoverAttemptsOn(name, partition) }
    }

    /** Requests that these attempts are stopped, with time to save a checkpoint where they can. */
    fun interrupt(interrupted: Collection<Attempt>) = checkpointPreemption.requestStop(interrupted)

    /** How long an attempt is expected to go on, in microseconds. */
    fun remainingUs(
        attempt: Attempt,
        now: Long,
    ) = checkpointPreemption.remainingUs(attempt, now)

    /** For display: done and running tasks of each open job. */
    fun taskCounts(): Map<String, List<Int>> = jobTable.taskCounts()

    /** A job has been accepted, or was read from its record. */
    fun jobAdded(job: Job) {
        if (!jobTable.add(job)) return
        queue.onJobAdded(job)
        rounds.markChanged()
        jobTable.enqueueIfPlaceable(job)
        if (!jobTable.isFromThisTerm(job)) recovery.recoverAttemptsOf(job)
        if (job.allTasksDone) recorder.markUnrecorded(job, Long.MIN_VALUE / 2)
    }

    /** All dependencies of the job are recorded as done, since [atUs]. */
    fun jobReady(
        job: Job,
        atUs: Long,
    ) {
        if (job.ready || job.phase == JobPhase.CLOSED) return
        job.markReady(atUs)
        jobTable.enqueueIfPlaceable(job)
        queue.markOrderStale()
        rounds.markChanged()
    }

    /** When jobs with open dependencies are expected to be ready, as of [now]. */
    fun expectedReadiness(now: Long) = readiness.Snapshot(now)

    /** The record of the job was deleted: it is cancelled, or done by what an earlier leader wrote. */
    fun jobClosed(id: String) {
        val job = jobs[id] ?: return
        if (job.phase == JobPhase.CLOSED) return
        job.pending.clear()
        close(job)
    }

    private fun close(job: Job) {
        job.phase = JobPhase.CLOSED
        recorder.onJobClosed(job)
        reconciler.reconcileMachinesOf(job)
        jobTable.removeIfClosed(job)
    }

    /** A frame of a partition's owner; ignored where it is older than what is known. */
    fun partitionFrameReceived(
        frame: PartitionFrame,
        now: Long,
    ) {
        val state = partitionTable.accept(frame, now) ?: return
        val partition = PartitionRef(frame.partition, state)
        tracker.timePassed(now)
        frame.machines.filter { !directory.isRetired(it.name) }.forEach { machineChanged(partition, it, now) }
        frame.offers.forEach { rounds.addOffer(frame.partition, it, now) }
        updateFailover()
    }

    private fun machineChanged(
        partition: PartitionRef,
        delta: MachineState,
        now: Long,
    ) {
        val machine = delta.appliedTo(partition.state.machines[delta.name])
        partition.state.machines[machine.name] = machine
        directory.setAddress(machine.name, machine.address)
        checkpointPreemption.machineUpdated(machine, now)
        rounds.markChanged()
        outbox.touch(partition.id)
        for (task in delta.tasks) jobs[task.job]?.let { tracker.listed(partition, machine, task, it, now) }
        val onMachine = attempts.on(machine.name).asSequence().filter { it.partition == partition.id }
        tracker.removeAbsent(onMachine) { partitionTable[it] }
        reconciler.reconcile(partition.id, machine)
    }

    /** The cloud has confirmed the termination of the machine: all that ran there has ended. */
    fun machineTerminated(name: String) {
        tracker.attemptsLost(attempts.on(name).toList())
        tracker.failedJobs.remove(name)
        partitions.forEach { (id, partition) ->
            partition.machines.remove(name)
            outbox.forget(id, name)
        }
        unaccountedUse.remove(name)
        checkpointPreemption.machineTerminated(name)
        directory.retire(name)
        failover.machineTerminated(name)
        updateFailover()
    }

    private fun updateFailover() {
        if (!failover.completedNow()) return
        log.info("Failover complete, every machine is accounted for term={} jobs={}", term, jobs.size)
        jobTable.enqueueAllReady()
        rounds.markChanged()
    }

    /** Machines whose termination would complete the failover. */
    fun machinesToFence() = failover.machinesToFence(directory.size)

    /** Time has passed. */
    fun tick(now: Long) {
        if (now - sweptUs >= SWEEP_US) sweep(now)
        rounds.tick(now) { queue.sortWaitingJobs(jobs.values, { totalCores }, now) }
        recorder.writeDueCompletions(now)
        settings.assignment.partitions
            .filter { outbox.isDue(it, now) }
            .forEach { outbox.send(it, now) }
    }

    /** Looks at everything: leases expire with time alone, and a frame that was lost leaves no other trace. */
    private fun sweep(now: Long) {
        sweptUs = now
        tracker.timePassed(now)
        updateFailover()
        tracker.removeAbsent(attempts.all()) { partitionTable[it] }
        totalCores = partitionTable.totalCores { lookups.capacityOf(it)?.cores ?: 0.0 }
        outbox.setSaves(checkpointStops.ordersByPartition(now))
    }

    /** The transaction with [deltas] is committed, where [ok]; workers may now forget these tasks (invariant 9). */
    fun rangesWritten(
        deltas: List<CompletionDelta>,
        ok: Boolean,
        now: Long,
    ) {
        recorder.onRangesWritten(deltas, ok, now)
        if (ok) deltas.forEach { if (it.job.phase == JobPhase.OPEN) reconciler.reconcileMachinesOf(it.job) }
    }

    /** The completion of the job is recorded. */
    fun completionRecorded(
        job: Job,
        now: Long,
    ) {
        log.info(
            "Job completed job={} class={} tasks={} allPlacedAfterMs={} runningAfterMs={} completedAfterMs={}",
            job.spec.id,
            job.spec.jobClass,
            job.spec.tasks,
            (job.placedUs - job.readyUs).coerceAtLeast(0) / MILLI,
            (job.runningUs - job.readyUs).coerceAtLeast(0) / MILLI,
            (now - job.readyUs) / MILLI,
        )
        job.completionWriteInFlight = false
        close(job)
    }

    /** The completion of the job could not be recorded. */
    fun completionFailed(job: Job) {
        job.completionWriteInFlight = false
    }

    private companion object {
        const val SWEEP_US = SECOND
    }
}
