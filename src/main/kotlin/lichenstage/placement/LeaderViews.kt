package lichenstage.placement

import lichenstage.model.JobRequirements

/** The parts of the leader's state that the frames to partitions are built from. */
internal class LeaderOutboxSource(
    private val partitions: PartitionTable,
    private val jobs: JobTable,
    private val directory: MachineDirectory,
) : OutboxSource {
    override fun partition(id: String) = partitions[id]

    override fun requirementsOfJobs(): Map<String, JobRequirements> = jobs.byId.values.associate { it.spec.id to it.spec.requirements }

    override fun addresses(partition: String) = directory.addressesIn(partition)

    override fun isJobComplete(job: String) = jobs.isComplete(job)

    override fun isExcludedFromPlacement(machine: String) = !directory.canReceiveTasks(machine)
}

/** The parts of the leader's state that rounds of placement requests depend on. */
internal class LeaderRoundContext(
    private val partitions: PartitionTable,
    private val directory: MachineDirectory,
    private val runningAttempts: RunningAttempts,
    private val unaccountedUse: UnaccountedUse,
    private val failureHistory: FailureHistory,
) : RoundContext {
    override fun partition(id: String) = partitions[id]

    override fun usableSlots(
        machine: String,
        held: Int,
    ) = directory.usableSlots(machine, held) { runningAttempts.onMachine(machine).size }

    override fun avoidedMachines(
        job: Job,
        nowUs: Long,
    ) = failureHistory.avoidedMachines(job, nowUs)

    override fun unaccountedUse() = unaccountedUse.total()

    override fun reachablePartitions(nowUs: Long) = partitions.reachablePartitions(nowUs)
}
