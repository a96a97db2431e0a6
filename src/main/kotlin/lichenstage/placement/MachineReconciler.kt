package lichenstage.placement

import lichenstage.cluster.MachineState

/**
 * The component that keeps the stops, the clears and the unaccounted use of each machine up to date. Callers reconcile a machine again
 * whenever its task list or one of its jobs changes.
 */
internal class MachineReconciler(
    private val partitions: PartitionTable,
    private val jobs: JobTable,
    private val unaccountedUse: UnaccountedUse,
    private val isRegistered: (String) -> Boolean,
    private val outbox: PartitionOutbox,
) {
    /** Compares the task list of [machine] with the jobs, and stores the resulting stops, clears and unaccounted use. */
    fun reconcile(
        partition: String,
        machine: MachineState,
    ) {
        val result = MachineReconciliation.of(machine, jobs.byId)
        unaccountedUse.setUnaccounted(machine.name, machine.typeName, result.hasUnaccountedTasks && isRegistered(machine.name))
        outbox.setStopsAndClears(partition, machine.name, result.stops, result.clears)
    }

    /** Reconciles the machine of an attempt. */
    fun reconcileMachineOf(attempt: Attempt) {
        partitions[attempt.partition]?.machines?.get(attempt.machine)?.let { reconcile(attempt.partition, it) }
    }

    /** Reconciles all machines that have listed a task of [job]. Needed when the job's phase or its recorded tasks change. */
    fun reconcileMachinesOf(job: Job) {
        for (machine in job.listedOnMachines) {
            for ((id, partition) in partitions.byId) partition.machines[machine]?.let { reconcile(id, it) }
        }
    }
}
