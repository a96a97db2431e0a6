package lichenstage.world

import lichenstage.partition.FenceReason
import lichenstage.partition.OrderEvent

/** Counts the partitions' events of orders to workers. */
class OrderEventCounts {
    /** Orders that got no answer. */
    var unansweredOrders = 0
        private set

    /** Newer fencing tokens that machines were given because of unwanted starts, and because of clears. */
    var startFences = 0
        private set
    var clearFences = 0
        private set

    /** Heartbeats that were not answered since no newer token was at hand. */
    var withheldReplies = 0
        private set

    /** Starts that were first listed when they were no longer wanted. */
    var lateUnwantedStarts = 0
        private set

    fun add(event: OrderEvent) {
        when (event) {
            is OrderEvent.OrderUnanswered -> unansweredOrders++
            is OrderEvent.FencingTokenRaised -> if (event.reason == FenceReason.UNWANTED_START) startFences++ else clearFences++
            is OrderEvent.ReplyWithheld -> withheldReplies++
            is OrderEvent.UnwantedStartListed -> lateUnwantedStarts++
            is OrderEvent.JobEnded, is OrderEvent.StartProvenNotExecuted, is OrderEvent.StartRefused -> Unit
        }
    }

    override fun toString() =
        "$unansweredOrders orders unanswered, $startFences newer tokens for starts, $clearFences for clears, " +
            "$withheldReplies reports withheld, $lateUnwantedStarts starts landed late"
}
