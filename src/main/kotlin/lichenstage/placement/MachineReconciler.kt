package lichenstage.placement

import lichenstage.cluster.MachineState

/**
 * Keeps, for each machine, what it still has to stop and to clear, and whether something runs on it that counts for no team. To be
 * compared again whenever the machine's task list or one of its jobs has changed.
 */
internal class MachineReconciler(
    private val partitions: PartitionTable,
    private val jobs: JobTable,
    private val unaccountedUse: UnaccountedUse,
    private val isRegistered: (String) -> Boolean,
    private val outbox: PartitionOutbox,
) {
    /** Compares the machine's task list with the jobs. */
    fun reconcile(
        partition: String,
        machine: MachineState,
    ) {
        val result = MachineReconciliation.of(machine, jobs.byId)
        unaccountedUse.setUnaccounted(machine.name, machine.typeName, result.hasUnaccountedTasks && isRegistered(machine.name))
        outbox.setStopsAndClears(partition, machine.name, result.stops, result.clears)
    }

    /** Compares the task list of the machine on which an attempt is. */
    fun reconcileMachineOf(attempt: Attempt) {
        partitions[attempt.partition]?.machines?.get(attempt.machine)?.let { reconcile(attempt.partition, it) }
    }

    /** What machines have to do changes with the phase of the job and with what is recorded of it. */
    fun reconcileMachinesOf(job: Job) {
        for (machine in job.listedOnMachines) {
            for ((id, partition) in partitions.byId) partition.machines[machine]?.let { reconcile(id, it) }
        }
    }
}
