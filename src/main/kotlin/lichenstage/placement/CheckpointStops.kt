package lichenstage.placement

import lichenstage.cluster.CheckpointStopOrder

/** Collects the commands to save a checkpoint and stop for all machines that will be terminated. */
internal class CheckpointStops(
    private val preemption: CheckpointPreemption,
    private val directory: MachineDirectory,
    private val attempts: RunningAttempts,
) {
    /** Returns the commands that are due at [nowUs], by partition name. */
    fun commandsByPartition(nowUs: Long): Map<String, List<CheckpointStopOrder>> {
        val commands = HashMap<String, List<CheckpointStopOrder>>()
        for (machine in directory.cordoned + preemption.affectedMachines) {
            val partition = directory.partitionOf(machine) ?: continue
            val machineCommands = preemption.saveCommands(machine, attempts.onMachine(machine), machine in directory.drained, nowUs)
            if (machineCommands.isNotEmpty()) commands.merge(partition, machineCommands) { existing, added -> existing + added }
        }
        return commands
    }
}
