package lichenstage.world

import lichenstage.common.MILLI
import lichenstage.common.SECOND
import lichenstage.partition.DirectOrder
import lichenstage.partition.Heartbeat
import lichenstage.partition.OrderOutcome
import lichenstage.partition.PartitionCore
import lichenstage.partition.StatusProbe
import lichenstage.world.SimulationContext.Companion.MAX_DELIVERY_DELAY_US
import lichenstage.world.SimulationContext.Companion.hostOf

/** Sends a controller's direct orders and probes to workers. On the way they may be held, lost or repeated. */
internal class SimulatedOrders(
    private val controller: SimulatedController,
    private val context: SimulationContext,
    private val machines: SimulatedMachines,
) {
    private val random = context.random
    private val profile = context.profile
    private val host = hostOf(controller.id)

    /** The maximum delay of the repeat of an executed order. Where orders are held for minutes, repeats are as late. */
    private val maxRepeatDelayUs =
        if (profile.heldOrderShare > 0) maxOf(MAX_DELIVERY_DELAY_US, profile.maxHoldUs.toInt()) else MAX_DELIVERY_DELAY_US
    private val nowUs get() = context.nowUs

    /** Sends a probe. Its result goes to [partition], unless the process that sent the probe has ended. */
    fun sendProbe(
        partition: PartitionCore,
        probe: StatusProbe,
    ) {
        val worker = machines.getWorker(probe.machine)
        val senderIncarnation = controller.incarnation
        var isCompleted = false

        fun complete(heartbeat: Heartbeat?) {
            if (isCompleted || controller.incarnation != senderIncarnation) return
            isCompleted = true
            partition.onProbeResult(probe, heartbeat, nowUs)
            controller.sendPendingMessages()
        }
        context.send(host, worker.name, canRepeat = false) {
            if (!worker.isTerminated && !worker.isHung(nowUs)) {
                val result = worker.execute(probe.fencingToken, worker.agentEpoch, emptyList(), nowUs)
                context.send(worker.name, host) { complete(result.heartbeat.takeIf { result.isExecuted }) }
            }
        }
        context.after(TIMEOUT_US) { complete(null) }
    }

    /** Sends a direct order. Its outcome goes to [partition], unless the process that sent the order has ended. */
    fun sendOrder(
        partition: PartitionCore,
        order: DirectOrder,
    ) {
        val worker = machines.getWorker(order.machine)
        val senderIncarnation = controller.incarnation
        var isCompleted = false

        fun complete(outcome: OrderOutcome) {
            if (isCompleted || controller.incarnation != senderIncarnation) return
            isCompleted = true
            partition.onOrderOutcome(order, outcome, nowUs)
        }
        // An order in flight is executed even after its sender has stopped waiting for the outcome.
        context.send(host, worker.name, canRepeat = false) {
            if (profile.heldOrderShare > 0 && random.nextDouble() < profile.heldOrderShare) {
                val heldUs = MIN_HOLD_US + random.nextInt((profile.maxHoldUs - MIN_HOLD_US).toInt())
                context.after(heldUs) { executeUnanswered(worker, order) }
            } else {
                execute(worker, order, ::complete)
            }
        }
        context.after(TIMEOUT_US) { complete(OrderOutcome.Indeterminate) }
    }

    private fun execute(
        worker: SimulatedWorker,
        order: DirectOrder,
        complete: (OrderOutcome) -> Unit,
    ) {
        if (worker.isTerminated) return
        if (worker.isHung(nowUs)) return context.after(worker.hungUntilUs - nowUs + MILLI) { execute(worker, order, complete) }
        val outcome = worker.execute(order.fencingToken, order.agentEpoch, order.commands, nowUs)
        context.send(worker.name, host) { complete(outcome) }
        // Some executed orders are repeated later; the sender gets no reply to the repeat.
        if (random.nextInt(REPEAT_ONE_IN) == 0) {
            context.after(random.nextInt(maxRepeatDelayUs).toLong()) { executeUnanswered(worker, order) }
        }
    }

    private fun executeUnanswered(
        worker: SimulatedWorker,
        order: DirectOrder,
    ) {
        if (!worker.isTerminated && !worker.isHung(nowUs)) worker.execute(order.fencingToken, order.agentEpoch, order.commands, nowUs)
    }

    private companion object {
        const val TIMEOUT_US = 3 * SECOND
        const val MIN_HOLD_US = 2 * SECOND
        const val REPEAT_ONE_IN = 6
    }
}
