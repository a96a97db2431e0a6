package lichenstage.partition

import lichenstage.cluster.TaskPhase
import lichenstage.common.SECOND

/** The commands that workers should execute, and which machines are due for a direct order. */
internal class OrderQueue {
    private val dueMachines = LinkedHashSet<Machine>()

    /** Something may have to be sent to [machine]. */
    fun add(machine: Machine) {
        dueMachines += machine
    }

    /** Drops a machine that the partition has removed. */
    fun remove(machine: Machine) {
        dueMachines -= machine
    }

    /** The commands for the answer to the heartbeat with number [sequence], recorded as sent. */
    fun commandsForReply(
        machine: Machine,
        sequence: Long,
        nowUs: Long,
    ): List<Command> {
        val commands = pendingCommands(machine, nowUs).take(MAX_COMMANDS_PER_MESSAGE)
        markSent(machine, commands, nowUs) {
            it.startReplySentAtUs = nowUs
            it.startReplySequence = maxOf(it.startReplySequence, sequence)
        }
        return commands
    }

    /** All that the worker should do now. Each may be repeated; clears are only sent where no start can be executed after them. */
    private fun pendingCommands(
        machine: Machine,
        nowUs: Long,
    ): List<Command> {
        if (machine.attempts.isEmpty()) return emptyList()
        val commands = ArrayList<Command>()
        for (attempt in machine.attempts.values) pendingCommand(machine, attempt, nowUs)?.let { commands += it }
        return commands
    }

    private fun pendingCommand(
        machine: Machine,
        attempt: WorkerAttempt,
        nowUs: Long,
    ): Command? =
        when {
            attempt.phase == TaskPhase.PENDING -> {
                if (attempt.isStopRequested) null else Command.Start(attempt.task, attempt.number)
            }

            attempt.phase == TaskPhase.ENDED -> {
                val isClearDue = attempt.isClearRequested && attempt.isClearable(nowUs, machine.observedFencingToken)
                if (isClearDue) Command.Clear(attempt.task, attempt.number) else null
            }

            attempt.isStopRequested -> {
                Command.Stop(attempt.task, attempt.number, 0.0)
            }

            attempt.isCheckpointStopDue(nowUs) -> {
                Command.Stop(attempt.task, attempt.number, attempt.checkpointLeewayUs!! / SECOND.toDouble())
            }

            else -> {
                null
            }
        }

    /** Records that [commands] are sent now; [recordStart] records the way that a start takes. */
    private fun markSent(
        machine: Machine,
        commands: List<Command>,
        nowUs: Long,
        recordStart: (WorkerAttempt) -> Unit,
    ) {
        for (command in commands) {
            val attempt = machine.attempts.get(command.attempt) ?: continue
            if (command is Command.Stop && !attempt.isStopRequested) attempt.checkpointStopSentAtUs = nowUs
            if (command is Command.Start) recordStart(attempt)
        }
    }

    /**
     * The direct orders for what shouldn't wait for a heartbeat: one at a time for each machine, and at most [limit] in all, as there are
     * connections. The rest stays due; where some have to wait, stops go before starts.
     */
    fun nextDirectOrders(
        nowUs: Long,
        limit: Int,
    ): List<DirectOrder> {
        if (dueMachines.isEmpty() || limit <= 0) return emptyList()
        val orders = ArrayList<DirectOrder>()
        val candidates = if (dueMachines.size > limit) dueMachines.sortedBy { !isStopDue(it, nowUs) } else dueMachines.toList()
        for (machine in candidates) {
            if (orders.size >= limit) break
            dueMachines -= machine
            if (machine.canTakeOrders && needsDirectOrder(machine, nowUs)) orders += createOrder(machine, nowUs)
        }
        return orders
    }

    private fun createOrder(
        machine: Machine,
        nowUs: Long,
    ): DirectOrder {
        val commands = pendingCommands(machine, nowUs).take(MAX_COMMANDS_PER_MESSAGE)
        markSent(machine, commands, nowUs) {
            it.directStartAtUs = nowUs
            it.directStartToken = machine.fencingToken
            it.startOrdersInFlight++
        }
        machine.hasOrderInFlight = true
        return DirectOrder(machine.name, machine.address, machine.fencingToken, machine.agentEpoch, commands)
    }

    private fun needsDirectOrder(
        machine: Machine,
        nowUs: Long,
    ) = isStopDue(machine, nowUs) || machine.attempts.values.any { !it.isListed && !it.isStopRequested }

    private fun isStopDue(
        machine: Machine,
        nowUs: Long,
    ) = machine.attempts.values.any {
        it.isCheckpointStopDue(nowUs) || (it.isListed && it.isStopRequested && it.phase != TaskPhase.ENDED)
    }

    /** A direct order is no longer in flight. A start whose order got no answer may still be executed. */
    fun onOrderCompleted(
        machine: Machine,
        order: DirectOrder,
        outcome: OrderOutcome,
    ) {
        machine.hasOrderInFlight = false
        if (machine.agentEpoch != order.agentEpoch) return
        for (command in order.commands) {
            if (command !is Command.Start) continue
            val attempt = machine.attempts.get(command.attempt) ?: continue
            attempt.startOrdersInFlight--
            if (outcome is OrderOutcome.Indeterminate) attempt.isStartIndeterminate = true
        }
    }

    private companion object {
        const val MAX_COMMANDS_PER_MESSAGE = 200
    }
}
