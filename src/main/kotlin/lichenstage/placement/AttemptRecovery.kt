package lichenstage.placement

import lichenstage.cluster.TaskPhase

/**
 * Recovers attempts of earlier leaders when the record of their job or machine arrives only after the frame that lists the attempts.
 */
internal class AttemptRecovery(
    private val partitions: PartitionTable,
    private val jobs: JobTable,
    private val attemptTracker: AttemptTracker,
    private val reconciler: MachineReconciler,
) {
    /** Evaluates the task list of a machine that was just recorded. Before, no attempt on the machine was tracked (invariant 4). */
    fun recoverAttemptsOn(
        machineName: String,
        partitionId: String,
    ) {
        val partition = partitions[partitionId] ?: return
        val machine = partition.machines[machineName] ?: return
        for (task in machine.tasks) {
            if (task.phase == TaskPhase.ENDED) continue
            jobs.byId[task.job]?.let { attemptTracker.onTaskListed(PartitionRef(partitionId, partition), machine, task, it, 0) }
        }
        if (machine.tasks.isNotEmpty()) reconciler.reconcile(partitionId, machine)
    }

    /** Evaluates all task lists that name [job], whose record arrived after the lists. */
    fun recoverAttemptsOf(job: Job) = partitions.byId.forEach { (id, partition) -> recoverAttemptsIn(PartitionRef(id, partition), job) }

    private fun recoverAttemptsIn(
        partition: PartitionRef,
        job: Job,
    ) {
        for (machine in partition.state.machines.values) {
            val tasks = machine.tasks.filter { it.job == job.spec.id }
            if (tasks.isEmpty()) continue
            tasks.forEach { attemptTracker.onTaskListed(partition, machine, it, job, 0) }
            reconciler.reconcile(partition.id, machine)
        }
    }
}
