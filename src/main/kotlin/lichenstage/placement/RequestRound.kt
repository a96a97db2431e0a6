package lichenstage.placement

import lichenstage.cluster.HeldSlots

/**
 * Placement requests that were broadcast together, and the offers that have come for them.
 *
 * The round ends when the leader has waited alpha for a first offer or, after any offer, beta for another (names of the paper that
 * docs/design.md follows).
 */
class RequestRound(
    val requests: List<JobRequest>,
    now: Long,
    alphaUs: Long,
) {
    private val stamps = requests.mapTo(HashSet()) { it.request.requestNumber }
    private val offers = HashMap<Long, HashMap<String, List<HeldSlots>>>()
    private val answered = HashSet<String>()
    var deadlineUs = now + alphaUs
        private set

    /** Adds a partition's offer for the request with this [stamp]. The first one of a partition extends the round to [betaUs] from now. */
    fun addOffer(
        partition: String,
        stamp: Long,
        held: List<HeldSlots>,
        now: Long,
        betaUs: Long,
    ) {
        if (stamp !in stamps) return
        offers.getOrPut(stamp) { HashMap() }[partition] = held
        if (answered.add(partition)) deadlineUs = now + betaUs
    }

    /** All of [partitions] have made an offer, perhaps an empty one. */
    fun allAnswered(partitions: Set<String>) = answered.containsAll(partitions)

    /** The offers for the request with this [stamp], by partition. */
    fun offersFor(stamp: Long): Map<String, List<HeldSlots>> = offers[stamp] ?: emptyMap()
}
