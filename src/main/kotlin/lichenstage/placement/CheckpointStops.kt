package lichenstage.placement

import lichenstage.cluster.SaveOrder

/** The stops of running tasks that go out next, for all machines that go away. */
internal class CheckpointStops(
    private val preemption: CheckpointPreemption,
    private val directory: MachineDirectory,
    private val attempts: RunningAttempts,
) {
    /** The orders to save a checkpoint and stop, by partition. */
    fun ordersByPartition(now: Long): Map<String, List<SaveOrder>> {
        val orders = HashMap<String, List<SaveOrder>>()
        for (machine in directory.cordoned + preemption.affectedMachines) {
            val partition = directory.partition(machine) ?: continue
            val ofMachine = preemption.saveOrders(machine, attempts.on(machine), machine in directory.drained, now)
            if (ofMachine.isNotEmpty()) orders.merge(partition, ofMachine) { before, more -> before + more }
        }
        return orders
    }
}
