package lichenstage.world

import lichenstage.partition.FenceReason
import lichenstage.partition.OrderEvent

/** Counts what partitions tell of orders to workers. */
class OrderEventCounts {
    /** Orders that got no answer. */
    var unanswered = 0
        private set

    /** Newer tokens that machines were given because of a start that was not wanted, and because of clears. */
    var fencesOfStarts = 0
        private set
    var fencesOfClears = 0
        private set

    /** Reports that were not answered since no newer token was at hand. */
    var withheld = 0
        private set

    /** Starts that landed although they were not wanted any more. */
    var landedLate = 0
        private set

    fun add(event: OrderEvent) {
        when (event) {
            is OrderEvent.Unanswered -> unanswered++
            is OrderEvent.FencingTokenRaised -> if (event.reason == FenceReason.UNWANTED_START) fencesOfStarts++ else fencesOfClears++
            is OrderEvent.AnswerWithheld -> withheld++
            is OrderEvent.LateStart -> landedLate++
            is OrderEvent.JobEnded, is OrderEvent.StartDisproven, is OrderEvent.StartRefused -> Unit
        }
    }

    override fun toString() =
        "$unanswered orders unanswered, $fencesOfStarts newer tokens for starts, $fencesOfClears for clears, " +
            "$withheld reports withheld, $landedLate starts landed late"
}
