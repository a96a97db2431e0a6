package lichenstage.placement

import lichenstage.cluster.AttemptOrder
import lichenstage.common.SECOND

/** Stops and clears that go out together. */
data class DueCommands(
    val stops: List<AttemptOrder>,
    val clears: List<AttemptOrder>,
)

/**
 * The stops and clears that machines still need. Each goes out once, and again after a while as long as the machine has not
 * shown that it is done: frames get lost.
 */
class PendingCommands {
    private class PendingCommand(
        val order: AttemptOrder,
        val isStop: Boolean,
    ) {
        var sentAtUs = Long.MIN_VALUE / 2
    }

    private val commandsByPartition = HashMap<String, LinkedHashMap<String, List<PendingCommand>>>()

    /** Sets the orders that [machine] needs now. True where one of them is new. */
    fun replace(
        partition: String,
        machine: String,
        stops: List<AttemptOrder>,
        clears: List<AttemptOrder>,
    ): Boolean {
        val commandsByMachine = commandsByPartition.getOrPut(partition) { LinkedHashMap() }
        if (stops.isEmpty() && clears.isEmpty()) {
            commandsByMachine.remove(machine)
            return false
        }
        val previousCommands = commandsByMachine[machine].orEmpty()
        var added = false

        fun findOrCreate(
            order: AttemptOrder,
            isStop: Boolean,
        ) = previousCommands.firstOrNull { it.isStop == isStop && it.order == order } ?: PendingCommand(order, isStop).also { added = true }
        commandsByMachine[machine] = stops.map { findOrCreate(it, true) } + clears.map { findOrCreate(it, false) }
        return added
    }

    /** The machine is terminated. */
    fun removeMachine(
        partition: String,
        machine: String,
    ) {
        commandsByPartition[partition]?.remove(machine)
    }

    /** A new owner of the partition gets all orders anew. */
    fun removePartition(partition: String) {
        commandsByPartition.remove(partition)
    }

    /** The stops and the clears to send to a partition now. */
    fun takeDue(
        partition: String,
        nowUs: Long,
    ): DueCommands {
        val stops = ArrayList<AttemptOrder>()
        val clears = ArrayList<AttemptOrder>()
        val pendingCommands =
            commandsByPartition[partition]
                ?.values
                .orEmpty()
                .asSequence()
                .flatten()
        for (command in pendingCommands.filter { isDue(it, nowUs) }.take(MAX_COMMANDS_PER_FRAME)) {
            command.sentAtUs = nowUs
            (if (command.isStop) stops else clears) += command.order
        }
        return DueCommands(stops, clears)
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
