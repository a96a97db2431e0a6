package lichenstage.world

import lichenstage.partition.FenceReason
import lichenstage.partition.OrderEvent

/** Counts the partitions' events of orders to workers. */
class OrderEventCounts {
    /** Orders that got no answer. */
    var unanswered = 0
        private set

    /** Newer fencing tokens that machines were given because of unwanted starts, and because of clears. */
    var startFences = 0
        private set
    var clearFences = 0
        private set

    /** Heartbeats that were not answered since no newer token was at hand. */
    var withheld = 0
        private set

    /** Starts that were first listed when they were no longer wanted. */
    var lateStarts = 0
        private set

    fun add(event: OrderEvent) {
        when (event) {
            is OrderEvent.OrderUnanswered -> unanswered++
            is OrderEvent.FencingTokenRaised -> if (event.reason == FenceReason.UNWANTED_START) startFences++ else clearFences++
            is OrderEvent.ReplyWithheld -> withheld++
            is OrderEvent.UnwantedStartListed -> lateStarts++
            is OrderEvent.JobEnded, is OrderEvent.StartProvenNotExecuted, is OrderEvent.StartRefused -> Unit
        }
    }

    override fun toString() =
        "$unanswered orders unanswered, $startFences newer tokens for starts, $clearFences for clears, " +
            "$withheld reports withheld, $lateStarts starts landed late"
}
