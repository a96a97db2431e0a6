package lichenstage.partition

import lichenstage.cluster.TaskPhase
import lichenstage.common.SECOND

/** The queue of machines that may need a direct order. It also derives the commands that a machine's worker should execute now. */
internal class OrderQueue {
    private val dueMachines = LinkedHashSet<Machine>()

    /** Adds [machine] to the machines that may need a direct order. */
    fun add(machine: Machine) {
        dueMachines += machine
    }

    /** Forgets a machine that the partition has removed. */
    fun remove(machine: Machine) {
        dueMachines -= machine
    }

    /** Returns the commands for the reply to the heartbeat with number [sequence], and records them as sent. */
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

    /**
     * Returns the commands that the worker should execute now. A command may be sent repeatedly. A clear is sent only if a late start
     * of the attempt can do no harm after it.
     */
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
                if (attempt.isStopRequested) null else Command.Start(attempt.taskId, attempt.number)
            }

            attempt.phase == TaskPhase.ENDED -> {
                val isClearDue = attempt.isClearRequested && attempt.isClearable(nowUs, machine.observedFencingToken)
                if (isClearDue) Command.Clear(attempt.taskId, attempt.number) else null
            }

            attempt.isStopRequested -> {
                Command.Stop(attempt.taskId, attempt.number, 0.0)
            }

            attempt.isCheckpointStopDue(nowUs) -> {
                Command.Stop(attempt.taskId, attempt.number, attempt.checkpointLeewayUs!! / SECOND.toDouble())
            }

            else -> {
                null
            }
        }

    /** Records that [commands] are sent now. For each start, [recordStart] records whether a reply or a direct order carries it. */
    private fun markSent(
        machine: Machine,
        commands: List<Command>,
        nowUs: Long,
        recordStart: (WorkerAttempt) -> Unit,
    ) {
        for (command in commands) {
            val attempt = machine.attempts.get(command.attemptNumber) ?: continue
            if (command is Command.Stop && !attempt.isStopRequested) attempt.checkpointStopSentAtUs = nowUs
            if (command is Command.Start) recordStart(attempt)
        }
    }

    /**
     * Creates direct orders for the commands that should not wait for the next heartbeat. A machine has at most one order in flight.
     *
     * If more than [limit] machines are due, machines with stops go before machines with starts only. The others stay in the queue.
     *
     * @param limit the largest number of orders to create, which is the number of available connections
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

    /** Handles the completion of a direct order. If the [outcome] is indeterminate, the order's starts may still be executed. */
    fun onOrderCompleted(
        machine: Machine,
        order: DirectOrder,
        outcome: OrderOutcome,
    ) {
        machine.hasOrderInFlight = false
        if (machine.agentEpoch != order.agentEpoch) return
        for (command in order.commands) {
            if (command !is Command.Start) continue
            val attempt = machine.attempts.get(command.attemptNumber) ?: continue
            attempt.startOrdersInFlight--
            if (outcome is OrderOutcome.Indeterminate) attempt.isStartIndeterminate = true
        }
    }

    private companion object {
        const val MAX_COMMANDS_PER_MESSAGE = 200
    }
}
