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
    nowUs: Long,
    alphaUs: Long,
) {
    private val requestNumbers = requests.mapTo(HashSet()) { it.request.requestNumber }
    private val offers = HashMap<Long, HashMap<String, List<HeldSlots>>>()
    private val partitionsWithOffer = HashSet<String>()
    var endsAtUs = nowUs + alphaUs
        private set

    /**
     * Adds a partition's offer for the request with this [requestNumber]; offers for requests of other rounds are ignored. The first
     * offer of each partition moves the end of the round to [betaUs] after [nowUs].
     */
    fun addOffer(
        partition: String,
        requestNumber: Long,
        held: List<HeldSlots>,
        nowUs: Long,
        betaUs: Long,
    ) {
        if (requestNumber !in requestNumbers) return
        offers.getOrPut(requestNumber) { HashMap() }[partition] = held
        if (partitionsWithOffer.add(partition)) endsAtUs = nowUs + betaUs
    }

    /** All of [partitions] have made an offer, perhaps an empty one. */
    fun hasOfferFromAll(partitions: Set<String>) = partitionsWithOffer.containsAll(partitions)

    /** The offers for the request with this [requestNumber], by partition. */
    fun offersFor(requestNumber: Long): Map<String, List<HeldSlots>> = offers[requestNumber] ?: emptyMap()
}
