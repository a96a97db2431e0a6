package lichenstage.placement

import lichenstage.cluster.AttemptCommand
import lichenstage.common.SECOND

/** The stop and clear commands that are sent in one frame. */
data class DueCommands(
    val stops: List<AttemptCommand>,
    val clears: List<AttemptCommand>,
)

/**
 * The stop and clear commands that machines still have to execute. A command is repeated at an interval until the machine's task list
 * shows that the command was executed, because frames can be lost.
 */
class PendingCommands {
    private class PendingCommand(
        val attemptCommand: AttemptCommand,
        val isStop: Boolean,
    ) {
        var sentAtUs = Long.MIN_VALUE / 2
    }

    private val commandsByPartition = HashMap<String, LinkedHashMap<String, List<PendingCommand>>>()

    /** Replaces the pending commands of [machine]. Returns whether one of them is new. */
    fun replace(
        partition: String,
        machine: String,
        stops: List<AttemptCommand>,
        clears: List<AttemptCommand>,
    ): Boolean {
        val commandsByMachine = commandsByPartition.getOrPut(partition) { LinkedHashMap() }
        if (stops.isEmpty() && clears.isEmpty()) {
            commandsByMachine.remove(machine)
            return false
        }
        val oldCommands = commandsByMachine[machine].orEmpty()
        var hasNew = false

        fun findOrCreate(
            attemptCommand: AttemptCommand,
            isStop: Boolean,
        ) = oldCommands.firstOrNull { it.isStop == isStop && it.attemptCommand == attemptCommand }
            ?: PendingCommand(attemptCommand, isStop).also { hasNew = true }
        commandsByMachine[machine] = stops.map { findOrCreate(it, true) } + clears.map { findOrCreate(it, false) }
        return hasNew
    }

    /** Removes the commands of a terminated machine. */
    fun removeMachine(
        partition: String,
        machine: String,
    ) {
        commandsByPartition[partition]?.remove(machine)
    }

    /** Removes the commands of a partition that has a new owner. Commands that are added again are then sent to the new owner at once. */
    fun removePartition(partition: String) {
        commandsByPartition.remove(partition)
    }

    /** Returns the commands to send to a partition now, and marks them as sent. */
    fun takeDue(
        partition: String,
        nowUs: Long,
    ): DueCommands {
        val stops = ArrayList<AttemptCommand>()
        val clears = ArrayList<AttemptCommand>()
        val pendingCommands =
            commandsByPartition[partition]
                ?.values
                .orEmpty()
                .asSequence()
                .flatten()
        for (command in selectForFrame(pendingCommands.filter { isDue(it, nowUs) }.toList())) {
            command.sentAtUs = nowUs
            (if (command.isStop) stops else clears) += command.attemptCommand
        }
        return DueCommands(stops, clears)
    }

    /** Returns as many of the due commands as a frame may have, those that were sent the longest ago or never before all others. */
    private fun selectForFrame(dueCommands: List<PendingCommand>): List<PendingCommand> =
        if (dueCommands.size <= MAX_COMMANDS_PER_FRAME) {
            dueCommands
        } else {
            dueCommands.sortedBy { it.sentAtUs }.take(MAX_COMMANDS_PER_FRAME)
        }

    private fun isDue(
        command: PendingCommand,
        nowUs: Long,
    ) = nowUs - command.sentAtUs >= if (command.isStop) STOP_RETRY_US else CLEAR_RETRY_US

    private companion object {
        const val STOP_RETRY_US = 2 * SECOND
        const val CLEAR_RETRY_US = 6 * SECOND
        const val MAX_COMMANDS_PER_FRAME = 400
    }
}
