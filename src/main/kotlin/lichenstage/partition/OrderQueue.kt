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
    fun inAnswer(
        machine: Machine,
        sequence: Long,
        now: Long,
    ): List<Command> {
        val commands = commands(machine, now).take(MAX_COMMANDS)
        sent(machine, commands, now) {
            it.answeredUs = now
            it.answeredSequence = maxOf(it.answeredSequence, sequence)
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
        attempt: Attempt,
        now: Long,
    ): Command? =
        when {
            attempt.phase == TaskPhase.PENDING -> {
                if (attempt.stopWanted) null else Command.Start(attempt.task, attempt.number)
            }

            attempt.phase == TaskPhase.ENDED -> {
                if (attempt.clearWanted && attempt.clearable(now, machine.shownToken)) Command.Clear(attempt.task, attempt.number) else null
            }

            attempt.stopWanted -> {
                Command.Stop(attempt.task, attempt.number, 0.0)
            }

            attempt.saveDue(now) -> {
                Command.Stop(attempt.task, attempt.number, attempt.saveLeewayUs!! / SECOND.toDouble())
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
        started: (Attempt) -> Unit,
    ) {
        for (command in commands) {
            val attempt = machine.attempts.get(command.attempt) ?: continue
            if (command is Command.Stop && !attempt.stopWanted) attempt.saveSentUs = now
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
            if (machine.takesOrders && isUrgent(machine, now)) orders += order(machine, now)
        }
        return orders
    }

    private fun order(
        machine: Machine,
        now: Long,
    ): DirectOrder {
        val commands = commands(machine, now).take(MAX_COMMANDS)
        sent(machine, commands, now) {
            it.orderedUs = now
            it.orderedToken = machine.fencingToken
            it.inFlight++
        }
        machine.ordersInFlight = true
        return DirectOrder(machine.name, machine.address, machine.fencingToken, machine.agentEpoch, commands)
    }

    private fun isUrgent(
        machine: Machine,
        now: Long,
    ) = isStopDue(machine, now) || machine.attempts.values.any { !it.present && !it.stopWanted }

    private fun isStopDue(
        machine: Machine,
        now: Long,
    ) = machine.attempts.values.any { it.saveDue(now) || (it.present && it.stopWanted && it.phase != TaskPhase.ENDED) }

    /** A direct order is no more under way; a start whose order got no answer may still land. */
    fun landed(
        machine: Machine,
        order: DirectOrder,
        outcome: OrderOutcome,
    ) {
        machine.ordersInFlight = false
        if (machine.agentEpoch != order.agentEpoch) return
        for (command in order.commands) {
            if (command !is Command.Start) continue
            val attempt = machine.attempts.get(command.attempt) ?: continue
            attempt.inFlight--
            if (outcome is OrderOutcome.Unclear) attempt.unclear = true
        }
    }

    private companion object {
        const val MAX_COMMANDS = 200
    }
}
