package lichenstage.partition

import lichenstage.cluster.TaskPhase
import lichenstage.common.SECOND

/** The commands that workers should execute, and which machines are due for a direct order. */
internal class OrderQueue {
    private val due = LinkedHashSet<Machine>()

    /** Something may have to be sent to [machine]. */
    fun add(machine: Machine) {
        due += machine
    }

    /** Drops a machine that the partition has removed. */
    fun remove(machine: Machine) {
        due -= machine
    }

    /** The commands for the answer to the heartbeat with number [sequence], recorded as sent. */
    fun commandsForAnswer(
        machine: Machine,
        sequence: Long,
        now: Long,
    ): List<Command> {
        val commands = commands(machine, now).take(MAX_COMMANDS)
        markSent(machine, commands, now) {
            it.startAnsweredUs = now
            it.startAnsweredSequence = maxOf(it.startAnsweredSequence, sequence)
        }
        return commands
    }

    /** All that the worker should do now. Each may be repeated; clears are only sent where no start can be executed after them. */
    private fun commands(
        machine: Machine,
        now: Long,
    ): List<Command> {
        if (machine.attempts.isEmpty()) return emptyList()
        val commands = ArrayList<Command>()
        for (attempt in machine.attempts.values) command(machine, attempt, now)?.let { commands += it }
        return commands
    }

    private fun command(
        machine: Machine,
        attempt: WorkerAttempt,
        now: Long,
    ): Command? =
        when {
            attempt.phase == TaskPhase.PENDING -> {
                if (attempt.stopRequested) null else Command.Start(attempt.task, attempt.number)
            }

            attempt.phase == TaskPhase.ENDED -> {
                val isDue = attempt.clearRequested && attempt.isClearable(now, machine.observedFencingToken)
                if (isDue) Command.Clear(attempt.task, attempt.number) else null
            }

            attempt.stopRequested -> {
                Command.Stop(attempt.task, attempt.number, 0.0)
            }

            attempt.isCheckpointStopDue(now) -> {
                Command.Stop(attempt.task, attempt.number, attempt.checkpointLeewayUs!! / SECOND.toDouble())
            }

            else -> {
                null
            }
        }

    /** Records that [commands] are sent now; [startSent] records the way that a start takes. */
    private fun markSent(
        machine: Machine,
        commands: List<Command>,
        now: Long,
        startSent: (WorkerAttempt) -> Unit,
    ) {
        for (command in commands) {
            val attempt = machine.attempts.get(command.attempt) ?: continue
            if (command is Command.Stop && !attempt.stopRequested) attempt.checkpointStopSentUs = now
            if (command is Command.Start) startSent(attempt)
        }
    }

    /**
     * The direct orders for what shouldn't wait for a heartbeat: one at a time for each machine, and at most [limit] in all, as there are
     * connections. The rest stays due; where some have to wait, stops go before starts.
     */
    fun nextDirectOrders(
        now: Long,
        limit: Int,
    ): List<DirectOrder> {
        if (due.isEmpty() || limit <= 0) return emptyList()
        val orders = ArrayList<DirectOrder>()
        val candidates = if (due.size > limit) due.sortedBy { !isStopDue(it, now) } else due.toList()
        for (machine in candidates) {
            if (orders.size >= limit) break
            due -= machine
            if (machine.canTakeOrders && isUrgent(machine, now)) orders += order(machine, now)
        }
        return orders
    }

    private fun order(
        machine: Machine,
        now: Long,
    ): DirectOrder {
        val commands = commands(machine, now).take(MAX_COMMANDS)
        markSent(machine, commands, now) {
            it.startOrderedUs = now
            it.startOrderToken = machine.fencingToken
            it.startsInFlight++
        }
        machine.hasOrderInFlight = true
        return DirectOrder(machine.name, machine.address, machine.fencingToken, machine.agentEpoch, commands)
    }

    private fun isUrgent(
        machine: Machine,
        now: Long,
    ) = isStopDue(machine, now) || machine.attempts.values.any { !it.isListed && !it.stopRequested }

    private fun isStopDue(
        machine: Machine,
        now: Long,
    ) = machine.attempts.values.any {
        it.isCheckpointStopDue(now) || (it.isListed && it.stopRequested && it.phase != TaskPhase.ENDED)
    }

    /** A direct order is no longer in flight. A start whose order got no answer may still be executed. */
    fun complete(
        machine: Machine,
        order: DirectOrder,
        outcome: OrderOutcome,
    ) {
        machine.hasOrderInFlight = false
        if (machine.agentEpoch != order.agentEpoch) return
        for (command in order.commands) {
            if (command !is Command.Start) continue
            val attempt = machine.attempts.get(command.attempt) ?: continue
            attempt.startsInFlight--
            if (outcome is OrderOutcome.Indeterminate) attempt.isStartIndeterminate = true
        }
    }

    private companion object {
        const val MAX_COMMANDS = 200
    }
}
