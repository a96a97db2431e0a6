package lichenstage.partition

/**
 * A batch of commands that is sent directly to a worker, instead of in the reply to one of its heartbeats.
 *
 * However late the order arrives, the worker executes it if [fencingToken] is not lower than the highest token it has seen and [agentEpoch]
 * equals its own epoch.
 */
data class DirectOrder(
    val machine: String,
    val address: String,
    val fencingToken: Long,
    val agentEpoch: Long,
    val commands: List<Command>,
)

/** The outcome of a direct order, as far as the controller knows it. */
sealed interface OrderOutcome {
    /**
     * The worker replied.
     *
     * @property isExecuted whether the worker executed the order; false if it refused the order
     * @property heartbeat the worker's state from the reply; null if the reply contains no valid heartbeat
     */
    data class Replied(
        val isExecuted: Boolean,
        val heartbeat: Heartbeat?,
    ) : OrderOutcome {
        /** Returns whether the reply comes from the machine of [order] and its fencing token and agent epoch agree with [isExecuted]. */
        fun matches(order: DirectOrder): Boolean {
            if (heartbeat == null || heartbeat.machine != order.machine) return false
            return if (isExecuted) {
                heartbeat.agentEpoch == order.agentEpoch && heartbeat.fencingToken >= order.fencingToken
            } else {
                heartbeat.agentEpoch > order.agentEpoch || heartbeat.fencingToken > order.fencingToken
            }
        }
    }

    /** No connection was established, so the worker cannot have received the order. */
    data object NotSent : OrderOutcome

    /** The order was sent but no valid reply came, so the worker may still execute it. */
    data object Indeterminate : OrderOutcome

    /**
     * Returns this outcome, or [Indeterminate] if a reply proves nothing about [order]. That is a reply that is malformed, comes from
     * another machine, or has a fencing token or an agent epoch that contradicts its status. The worker may then still execute the order.
     */
    fun verifiedFor(order: DirectOrder): OrderOutcome = if (this is Replied && !matches(order)) Indeterminate else this
}
