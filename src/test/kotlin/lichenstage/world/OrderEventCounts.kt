package lichenstage.world

import lichenstage.partition.FenceReason
import lichenstage.partition.OrderEvent

/** Counts the events that partitions emit about commands to workers. */
class OrderEventCounts {
    /** Direct orders that got no reply. */
    var unansweredOrders = 0
        private set

    /** Newer fencing tokens that were given to machines because of unwanted starts. */
    var startFences = 0
        private set

    /** Newer fencing tokens that were given to machines so that ended tasks could be cleared. */
    var clearFences = 0
        private set

    /** Heartbeats that got no reply because no newer fencing token was available. */
    var withheldReplies = 0
        private set

    /** Starts that were no longer wanted when a heartbeat first listed them. */
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
        "$unansweredOrders orders without a reply, $startFences newer tokens for unwanted starts, $clearFences for clears, " +
            "$withheldReplies replies withheld, $lateUnwantedStarts unwanted starts listed"
}
