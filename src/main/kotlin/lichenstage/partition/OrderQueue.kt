package lichenstage.partition

import lichenstage.cluster.TaskPhase
import lichenstage.common.SECOND

/** The commands that workers should execute, and which machines are due for a direct order. */
internal class OrderQueue {
    private val due = LinkedHashSet<Machine>()

    fun add(machine: Machine) {
        due += machine
    }

    fun forget(machine: Machine) {
        due -= machine
    }

    /** What the answer to the report [sequence] takes along. */
    fun commandsForAnswer(
        machine: Machine,
        sequence: Long,
        now: Long,
    ): List<Command> {
        val commands = commands(machine, now).take(MAX_COMMANDS)
        sent(machine, commands, now) {
            it.startAnsweredUs = now
            it.startAnsweredSequence = maxOf(it.startAnsweredSequence, sequence)
        }
        return commands
    }

    /** All that the worker should do now. Each may be repeated; clears only go where no start can land after them. */
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
                if (attempt.clearRequested &&
                    attempt.isClearable(now, machine.observedFencingToken)
                ) {
                    Command.Clear(attempt.task, attempt.number)
                } else {
                    null
                }
            }

            attempt.stopRequested -> {
                Command.Stop(attempt.task, attempt.number, 0.0)
            }

            attempt.checkpointStopDue(now) -> {
                Command.Stop(attempt.task, attempt.number, attempt.checkpointLeewayUs!! / SECOND.toDouble())
            }

            else -> {
                null
            }
        }

    /** Notes what goes out to a machine now; [started] also notes the way that a start takes. */
    private fun sent(
        machine: Machine,
        commands: List<Command>,
        now: Long,
        started: (WorkerAttempt) -> Unit,
    ) {
        for (command in commands) {
            val attempt = machine.attempts.get(command.attempt) ?: continue
            if (command is Command.Stop && !attempt.stopRequested) attempt.checkpointStopSentUs = now
            if (command is Command.Start) started(attempt)
        }
    }

    /**
     * Direct orders for what shouldn't wait for a report: one at a time for each machine, [most] in all, as there are connections.
     * The rest stays due; where it has to wait, what must stop comes before what may start.
     */
    fun direct(
        now: Long,
        most: Int,
    ): List<DirectOrder> {
        if (due.isEmpty() || most <= 0) return emptyList()
        val orders = ArrayList<DirectOrder>()
        val inOrder = if (due.size > most) due.sortedBy { !isStopDue(it, now) } else due.toList()
        for (machine in inOrder) {
            if (orders.size >= most) break
            due -= machine
            if (machine.acceptsOrders && isUrgent(machine, now)) orders += order(machine, now)
        }
        return orders
    }

    private fun order(
        machine: Machine,
        now: Long,
    ): DirectOrder {
        val commands = commands(machine, now).take(MAX_COMMANDS)
        sent(machine, commands, now) {
            it.startOrderedUs = now
            it.startOrderToken = machine.fencingToken
            it.startsInFlight++
        }
        machine.orderInFlight = true
        return DirectOrder(machine.name, machine.address, machine.fencingToken, machine.agentEpoch, commands)
    }

    private fun isUrgent(
        machine: Machine,
        now: Long,
    ) = isStopDue(machine, now) || machine.attempts.values.any { !it.isListed && !it.stopRequested }

    private fun isStopDue(
        machine: Machine,
        now: Long,
    ) = machine.attempts.values.any { it.checkpointStopDue(now) || (it.isListed && it.stopRequested && it.phase != TaskPhase.ENDED) }

    /** A direct order is no more under way; a start whose order got no answer may still land. */
    fun complete(
        machine: Machine,
        order: DirectOrder,
        outcome: OrderOutcome,
    ) {
        machine.orderInFlight = false
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
