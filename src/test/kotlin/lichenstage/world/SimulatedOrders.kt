package lichenstage.world

import lichenstage.common.MILLI
import lichenstage.common.SECOND
import lichenstage.partition.DirectOrder
import lichenstage.partition.Heartbeat
import lichenstage.partition.OrderOutcome
import lichenstage.partition.PartitionCore
import lichenstage.partition.StatusProbe
import lichenstage.world.SimulationContext.Companion.LATEST_US
import lichenstage.world.SimulationContext.Companion.hostOf

/** Sends a controller's direct orders and probes to workers, on the way to which they may be held, lost or repeated. */
internal class SimulatedOrders(
    private val controller: SimulatedController,
    private val context: SimulationContext,
    private val machines: SimulatedMachines,
) {
    private val random = context.random
    private val profile = context.profile
    private val host = hostOf(controller.id)
    private val now get() = context.now

    /** Sends a probe; its result goes to [partition], where the process that sent it is still there. */
    fun probe(
        partition: PartitionCore,
        probe: StatusProbe,
    ) {
        val worker = machines.named(probe.machine)
        val sender = controller.incarnation
        var completed = false

        fun complete(heartbeat: Heartbeat?) {
            if (completed || controller.incarnation != sender) return
            completed = true
            partition.onProbeResult(probe, heartbeat, now)
            controller.sendDue()
        }
        context.send(host, worker.name, repeats = false) {
            if (!worker.gone && !worker.isHung(now)) {
                val result = worker.execute(probe.fencingToken, worker.agentEpoch, emptyList(), now)
                context.send(worker.name, host) { complete(result.heartbeat.takeIf { result.isExecuted }) }
            }
        }
        context.at(TIMEOUT_US) { complete(null) }
    }

    /** Sends a direct order; its outcome goes to [partition], where the process that sent it is still there. */
    fun send(
        partition: PartitionCore,
        order: DirectOrder,
    ) {
        val worker = machines.named(order.machine)
        val sender = controller.incarnation
        var completed = false

        fun complete(outcome: OrderOutcome) {
            if (completed || controller.incarnation != sender) return
            completed = true
            partition.onOrderOutcome(order, outcome, now)
        }
        // Like a packet, an order that was sent is executed even if nobody waits for its outcome any more.
        context.send(host, worker.name, repeats = false) {
            if (profile.heldOrderShare > 0 && random.nextDouble() < profile.heldOrderShare) {
                val heldUs = SHORTEST_HOLD_US + random.nextInt((profile.longestHoldUs - SHORTEST_HOLD_US).toInt())
                context.at(heldUs) { executeUnanswered(worker, order) }
            } else {
                execute(worker, order, ::complete)
            }
        }
        context.at(TIMEOUT_US) { complete(OrderOutcome.Indeterminate) }
    }

    private fun execute(
        worker: SimulatedWorker,
        order: DirectOrder,
        complete: (OrderOutcome) -> Unit,
    ) {
        if (worker.gone) return
        if (worker.isHung(now)) return context.at(worker.hungUntilUs - now + MILLI) { execute(worker, order, complete) }
        val outcome = worker.execute(order.fencingToken, order.agentEpoch, order.commands, now)
        context.send(worker.name, host) { complete(outcome) }
        // A repeat of what was executed.
        if (random.nextInt(REPEAT_ONE_IN) == 0) context.at(random.nextInt(LATEST_US).toLong()) { executeUnanswered(worker, order) }
    }

    private fun executeUnanswered(
        worker: SimulatedWorker,
        order: DirectOrder,
    ) {
        if (!worker.gone && !worker.isHung(now)) worker.execute(order.fencingToken, order.agentEpoch, order.commands, now)
    }

    private companion object {
        const val TIMEOUT_US = 3 * SECOND
        const val SHORTEST_HOLD_US = 2 * SECOND
        const val REPEAT_ONE_IN = 6
    }
}
