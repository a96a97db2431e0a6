package lichenstage.placement

import lichenstage.cluster.MachineState
import lichenstage.cluster.PartitionFrame
import lichenstage.cluster.SaveOrder
import lichenstage.cluster.StartOrder
import lichenstage.cluster.TaskPhase
import lichenstage.common.MILLI
import lichenstage.common.SECOND
import lichenstage.config.Team
import lichenstage.model.JobRequirements
import lichenstage.model.JobSpec
import lichenstage.model.PartitionAssignment
import lichenstage.model.Resources
import org.slf4j.LoggerFactory

/**
 * The leader: the requests, and every attempt that may be running.
 *
 * Plain code: events with the time come in, effects go out through [emit]. A start goes out only for a task of which it
 * is known that no other attempt can be running, and within the limits counted over all that may be running. A frame costs by
 * what it changes; what must look at everything is done once in [SWEEP_US].
 */
class LeaderCore(
    /** The term of the leadership. */
    val term: Long,
    private val leaderKeyRevision: Long,
    private val assignment: PartitionAssignment,
    teams: Map<String, Team>,
    leaseUs: Long,
    placementSettings: PlacementSettings,
    objectives: ServiceObjectives,
    private val capacityOf: (String) -> Resources?,
    batch: Int,
    fetchUs: (JobSpec) -> Long = { 0 },
    dependentsOf: (String) -> Collection<String> = { emptyList() },
    valueBytes: Int = Int.MAX_VALUE,
    private val emit: (LeaderEffect) -> Unit,
) {
    private val log = LoggerFactory.getLogger("lichenstage.placement")

    /** Open jobs, and closed ones of which something may still run, by id. */
    val jobs = LinkedHashMap<String, Job>()

    /** What is known of each partition, by its name. */
    val partitions = HashMap<String, PartitionState>()

    private val directory = MachineDirectory()
    private val failover = FailoverRecovery(leaseUs) { partitions[it] }
    private val unaccounted = UnaccountedUse(failover, capacityOf)
    private val attempts = RunningAttempts(teams)

    /** How long tasks really run, as completions show. */
    val runTimes = RunTimeEstimates()
    private val pipelineDeadlines = PipelineDeadlines(objectives, runTimes) { job -> dependentsOf(job.spec.id).mapNotNull { jobs[it] } }
    private val readiness = ReadinessForecast(runTimes, fetchUs) { jobs[it] }
    private val queue = JobQueue(objectives, teams, runTimes, pipelineDeadlines = pipelineDeadlines)
    private val zones = ZoneConstraints(assignment)
    private val checkpointPreemption = CheckpointPreemption(runTimes)
    private val recorder = CompletionRecorder(batch, placementSettings.flushUs, valueBytes, emit)
    private val outbox = PartitionOutbox(term, OutboxView(), emit)
    private val tracker = AttemptTracker(leaseUs, attempts, runTimes, checkpointPreemption, directory::isRegistered, TrackedAttempts())
    private val rounds =
        RequestRounds(
            term,
            assignment,
            placementSettings,
            RequestPlanner(placementSettings, objectives, runTimes, zones, fetchUs),
            zones,
            attempts,
            outbox,
            RoundView(),
        )
    private var sweptUs = Long.MIN_VALUE / 2
    private var cores = 0.0

    /** Told of each attempt that ran and does not any more although its task is not done. */
    var taskStopped: ((Attempt) -> Unit)? = null
    private var opened = false

    private inner class OutboxView : OutboxSource {
        override fun partition(id: String) = partitions[id]

        override fun requirementsOfJobs(): Map<String, JobRequirements> = jobs.values.associate { it.spec.id to it.spec.requirements }

        override fun addresses(partition: String) = directory.addresses(partition)

        override fun takesNoTasks(machine: String) = !directory.mayGetTasks(machine)
    }

    private inner class RoundView : RoundContext {
        override fun partition(id: String) = partitions[id]

        override fun usableSlots(
            machine: String,
            held: Int,
        ) = when {
            !directory.mayGetTasks(machine) -> 0
            machine !in directory.onProbation -> held
            else -> minOf(held, 1 - attempts.on(machine).size).coerceAtLeast(0)
        }

        override fun unaccountedUse() = unaccounted.resources()

        override fun reachablePartitions(now: Long) = partitions.filterValues { now - it.lastFrameUs < REACHABLE_US }.keys
    }

    private inner class TrackedAttempts : AttemptListener {
        override fun taskDone(
            job: Job,
            now: Long,
        ) {
            if (job.phase == JobPhase.OPEN) recorder.markUnrecorded(job, now)
        }

        override fun attemptEnded(attempt: Attempt) {
            rounds.markChanged()
            if (attempt.runningUs > 0 && attempt.job.phase == JobPhase.OPEN &&
                !attempt.job.done.get(attempt.index)
            ) {
                taskStopped?.invoke(attempt)
            }
            forgetIfOver(attempt.job)
        }

        override fun attemptSuperseded(attempt: Attempt) {
            partitions[attempt.partition]?.machines?.get(attempt.machine)?.let { reconcile(attempt.partition, it) }
        }
    }

    /** Every registered machine is accounted for, so what isn't known to run doesn't (invariant 5). */
    val failoverComplete get() = failover.isComplete

    /** Jobs whose tasks failed on a machine, by its name: several point at the machine. */
    fun failedJobsOn(machine: String): Set<String> = tracker.failedJobs[machine].orEmpty()

    /** The machines that were registered before this term. */
    fun addRecoveredMachines(machines: Collection<RecoveredMachine>) {
        directory.register(machines.associate { it.name to it.partition })
        machines.forEach {
            failover.await(it)
            it.address?.let { address -> directory.setAddress(it.name, address) }
        }
    }

    /** The state service holds the machine's name. */
    fun isRegistered(machine: String) = directory.isRegistered(machine)

    /** The state service holds these names now, each with its partition. */
    fun machinesRegistered(machines: Map<String, String>) {
        directory.register(machines)
        rounds.markChanged()
        machines.forEach { (name, partition) -> recoverAttemptsOn(name, partition) }
    }

    /** What a machine ran before it was recorded is looked at again: until then it was not believed. */
    private fun recoverAttemptsOn(
        name: String,
        partition: String,
    ) {
        val state = partitions[partition] ?: return
        val machine = state.machines[name] ?: return
        for (task in machine.tasks) {
            if (task.phase != TaskPhase.ENDED) jobs[task.job]?.let { tracker.listed(PartitionRef(partition, state), machine, task, it, 0) }
        }
        if (machine.tasks.isNotEmpty()) reconcile(partition, machine)
    }

    /**
     * Machines that the state service does not hold yet, with the partition of each. Only those that have shown their partition's token
     * in this term: a late copy of a report must not bring back a machine that is gone.
     */
    fun unregisteredMachines(): List<PartitionMachine> =
        partitions.flatMap { (id, partition) ->
            partition.machines.values
                .filter { it.settled && !it.lost && !isRegistered(it.name) }
                .map { PartitionMachine(id, it) }
        }

    /** These machines get no more tasks. */
    fun setCordoned(machines: Set<String>) {
        directory.cordoned = machines
    }

    /** These machines get one task at a time. */
    fun setOnProbation(machines: Set<String>) {
        directory.onProbation = machines
    }

    /** These are cordoned for drains: only what those stop is stopped there. */
    fun setDrained(machines: Set<String>) {
        directory.drained = machines
    }

    /** These attempts are to be stopped, with time to save where they can. */
    fun interrupt(interrupted: Collection<Attempt>) = checkpointPreemption.requestStop(interrupted)

    /** How long an attempt is expected to go on. */
    fun remainingUs(
        attempt: Attempt,
        now: Long,
    ) = checkpointPreemption.remainingUs(attempt, now)

    /** The machine is proven gone. */
    fun isRetired(machine: String) = directory.isRetired(machine)

    /** What is known of a machine, or null. */
    fun machine(name: String): MachineState? {
        directory.partition(name)?.let { return partitions[it]?.machines?.get(name) }
        return partitions.values.firstNotNullOfOrNull { it.machines[name] }
    }

    /** The zone of a recorded machine, or null. */
    fun zoneOf(machine: String): String? = directory.partition(machine)?.let(assignment::zone)

    /** How many tasks of each team run. */
    fun runningByTeam(): Map<String, Int> =
        attempts
            .all()
            .filter { it.phase == TaskPhase.RUNNING }
            .groupingBy { it.job.spec.team }
            .eachCount()

    /** A job has been accepted, or was found in its record. */
    fun jobAdded(job: Job) {
        if (jobs.containsKey(job.spec.id)) return
        jobs[job.spec.id] = job
        queue.jobAdded(job)
        rounds.markChanged()
        // A job accepted within this term can't have been started by an earlier leader.
        val fresh = job.createRevision > leaderKeyRevision
        if (job.ready && (failoverComplete || fresh)) job.enqueueTasks()
        if (!fresh) partitions.forEach { (id, partition) -> recoverAttemptsOf(job, PartitionRef(id, partition)) }
        if (job.allTasksDone) recorder.markUnrecorded(job, Long.MIN_VALUE / 2)
    }

    /** All that the job needs is recorded as done, since [atUs]. */
    fun jobReady(
        job: Job,
        atUs: Long,
    ) {
        if (job.ready || job.phase == JobPhase.CLOSED) return
        job.markReady(atUs)
        if (failoverComplete || job.createRevision > leaderKeyRevision) job.enqueueTasks()
        queue.invalidate()
        rounds.markChanged()
    }

    /** When jobs that wait for others are expected to be ready, as of [now]. */
    fun expectedReadiness(now: Long) = readiness.Snapshot(now)

    /** The record of the job is gone: cancelled, or done by what an earlier leader wrote. */
    fun jobClosed(id: String) {
        val job = jobs[id] ?: return
        if (job.phase == JobPhase.CLOSED) return
        job.pending.clear()
        close(job)
    }

    private fun close(job: Job) {
        job.phase = JobPhase.CLOSED
        recorder.completionRecorded(job)
        reconcileMachinesOf(job)
        forgetIfOver(job)
    }

    private fun forgetIfOver(job: Job) {
        if (job.phase == JobPhase.CLOSED && job.liveAttempts.isEmpty()) jobs.remove(job.spec.id)
    }

    /** A job that has come to light after the machines that run it. */
    private fun recoverAttemptsOf(
        job: Job,
        partition: PartitionRef,
    ) {
        for (machine in partition.state.machines.values) {
            val here = machine.tasks.filter { it.job == job.spec.id }
            if (here.isEmpty()) continue
            here.forEach { tracker.listed(partition, machine, it, job, 0) }
            reconcile(partition.id, machine)
        }
    }

    /** A frame of a partition's owner. One that is older than what is known tells nothing. */
    fun partitionFrameReceived(
        frame: PartitionFrame,
        now: Long,
    ) {
        if (frame.leaderTerm != term || assignment.zone(frame.partition) == null) return
        val partition = stateFor(frame) ?: return
        // A frame that builds on what was acknowledged never skips a change; one that does is of another time.
        if (frame.since > partition.version || frame.version < partition.version) return
        if (frame.whole && frame.seq < partition.seq) return
        partition.version = frame.version
        partition.receivedSeq = frame.receivedSeq
        if (frame.whole) {
            // Never by a piece (invariant 17): versions before this one count those that they have told in frames that were lost.
            partition.seq = frame.seq
            partition.ageUs = frame.ageUs
        }
        partition.lastFrameUs = now
        tracker.timePassed(now)
        frame.machines.filter { !directory.isRetired(it.name) }.forEach { changed(PartitionRef(frame.partition, partition), it, now) }
        frame.offers.forEach { rounds.addOffer(frame.partition, it, now) }
        checkComplete()
    }

    /** What is known of the frame's partition under its owner; null where a newer owner was heard. */
    private fun stateFor(frame: PartitionFrame): PartitionState? {
        val known = partitions[frame.partition]
        if (known != null && frame.term < known.term) return null
        if (known != null && frame.term == known.term) return known
        outbox.newOwner(frame.partition)
        return PartitionState(frame.term).also { partitions[frame.partition] = it }
    }

    private fun changed(
        partition: PartitionRef,
        delta: MachineState,
        now: Long,
    ) {
        val machine = delta.after(partition.state.machines[delta.name])
        partition.state.machines[machine.name] = machine
        directory.setAddress(machine.name, machine.address)
        checkpointPreemption.machineUpdated(machine, now)
        rounds.markChanged()
        outbox.touch(partition.id)
        for (task in delta.tasks) jobs[task.job]?.let { tracker.listed(partition, machine, task, it, now) }
        val here = attempts.on(machine.name).asSequence().filter { it.partition == partition.id }
        tracker.giveUpAbsent(here) { partitions[it] }
        reconcile(partition.id, machine)
    }

    /** The machine is proven gone: a return call was answered, and with it all that ran there is gone. */
    fun machineTerminated(name: String) {
        tracker.lost(attempts.on(name).toList())
        tracker.failedJobs.remove(name)
        partitions.forEach { (id, partition) ->
            partition.machines.remove(name)
            outbox.forget(id, name)
        }
        unaccounted.remove(name)
        checkpointPreemption.machineTerminated(name)
        directory.retire(name)
        failover.machineTerminated(name)
        checkComplete()
    }

    private fun checkComplete() {
        failover.update()
        if (opened || !failoverComplete) return
        opened = true
        log.info("every machine is accounted for: {} jobs are open", jobs.size)
        jobs.values.forEach { if (it.ready && !it.placeable) it.enqueueTasks() }
        rounds.markChanged()
    }

    /** Machines whose return would account for them. */
    fun machinesToFence() = failover.machinesToFence(directory.size)

    /** Time has passed. */
    fun tick(now: Long) {
        if (now - sweptUs >= SWEEP_US) sweep(now)
        rounds.tick(now) { queue.order(jobs.values, { cores }, now) }
        recorder.writeDue(now)
        assignment.partitions.filter { outbox.isDue(it, now) }.forEach { outbox.send(it, now) }
    }

    /** Time passes for partitions that have told their age, and a frame that was lost leaves no trace but this. */
    private fun sweep(now: Long) {
        sweptUs = now
        tracker.timePassed(now)
        checkComplete()
        tracker.giveUpAbsent(attempts.all()) { partitions[it] }
        cores = partitions.values.sumOf { partition -> partition.machines.values.sumOf(::coresOf) }
        orderSaves(now)
    }

    private fun coresOf(machine: MachineState) = if (machine.lost) 0.0 else capacityOf(machine.typeName)?.cores ?: 0.0

    /** Tasks on machines that go away save their progress. */
    private fun orderSaves(now: Long) {
        val saves = HashMap<String, List<SaveOrder>>()
        for (machine in directory.cordoned + checkpointPreemption.affectedMachines) {
            val partition = directory.partition(machine) ?: continue
            val orders = checkpointPreemption.saveOrders(machine, attempts.on(machine), machine in directory.drained, now)
            if (orders.isNotEmpty()) saves.merge(partition, orders) { before, more -> before + more }
        }
        outbox.setSaves(saves)
    }

    /** The record holds what [deltas] cover, where [ok]; workers may now forget these tasks (invariant 9). */
    fun rangesWritten(
        deltas: List<CompletionDelta>,
        ok: Boolean,
        now: Long,
    ) {
        recorder.rangesWritten(deltas, ok, now)
        if (ok) deltas.forEach { if (it.job.phase == JobPhase.OPEN) reconcileMachinesOf(it.job) }
    }

    /** It is recorded that the job is done. */
    fun completionRecorded(
        job: Job,
        now: Long,
    ) {
        log.info(
            "{} is done: {} of {} tasks, all placed after {} ms, running after {} ms, done after {} ms",
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

    /** It could not be recorded that the job is done. */
    fun completionFailed(job: Job) {
        job.completionWriteInFlight = false
    }

    /** What machines need to do changes with the job. */
    private fun reconcileMachinesOf(job: Job) {
        for (machine in job.listedOnMachines) {
            for ((id, partition) in partitions) partition.machines[machine]?.let { reconcile(id, it) }
        }
    }

    /** Finds what a machine still has to stop and to clear, and whether something runs on it that counts for no team. */
    private fun reconcile(
        partition: String,
        machine: MachineState,
    ) {
        val reconcile = MachineReconciliation.of(machine, jobs)
        unaccounted.set(machine.name, machine.typeName, reconcile.unaccounted && isRegistered(machine.name))
        outbox.set(partition, machine.name, reconcile.stops, reconcile.clears)
    }

    /** For display: done and running tasks of each open job. */
    fun counts(): Map<String, List<Int>> =
        jobs.values.filter { it.phase != JobPhase.CLOSED }.associate { job ->
            job.spec.id to listOf(job.spec.tasks - job.remainingTasks, job.liveAttempts.values.count { it.phase != TaskPhase.PENDING })
        }

    /** Attempts that may be running on a machine. */
    fun attemptsOn(machine: String): Collection<Attempt> = attempts.on(machine)

    private companion object {
        const val SWEEP_US = SECOND
        const val REACHABLE_US = 2500 * MILLI
    }
}
