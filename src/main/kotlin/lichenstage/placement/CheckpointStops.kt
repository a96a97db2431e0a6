package lichenstage.placement

import lichenstage.cluster.CheckpointStopCommand

/** The commands to save a checkpoint and stop, collected for all machines that will be terminated. */
internal class CheckpointStops(
    private val preemption: CheckpointPreemption,
    private val directory: MachineDirectory,
    private val runningAttempts: RunningAttempts,
) {
    /** Returns the commands that are due at [nowUs], by partition name, and records them as sent. */
    fun takeDueCommandsByPartition(nowUs: Long): Map<String, List<CheckpointStopCommand>> {
        val commands = HashMap<String, List<CheckpointStopCommand>>()
        for (machine in directory.cordoned + preemption.affectedMachines) {
            val partition = directory.partitionOf(machine) ?: continue
            val machineCommands =
                preemption.takeDueCheckpointStops(
                    machine,
                    runningAttempts.onMachine(machine),
                    machine in directory.drained,
                    nowUs,
                )
            if (machineCommands.isNotEmpty()) commands.merge(partition, machineCommands) { existing, added -> existing + added }
        }
        return commands
    }
}
