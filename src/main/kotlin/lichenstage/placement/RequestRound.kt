package lichenstage.placement

import lichenstage.cluster.HeldSlots

/**
 * The placement requests that were broadcast together, and the offers received for them.
 *
 * The round ends if no offer is received for alpha after the start, or if no other partition makes an offer for beta after the last one
 * (alpha and beta are names from the paper that docs/design.md follows).
 */
class RequestRound(
    val requests: List<JobRequest>,
    nowUs: Long,
    alphaUs: Long,
    /** The machines on which no task of a job may be placed, by job id. */
    val avoidedMachines: Map<String, Set<String>> = emptyMap(),
) {
    private val requestNumbers = requests.mapTo(HashSet()) { it.request.requestNumber }
    private val offers = HashMap<Long, HashMap<String, List<HeldSlots>>>()
    private val partitionsWithOffer = HashSet<String>()
    var endsAtUs = nowUs + alphaUs
        private set

    /**
     * Adds a partition's offer for the request with this number. Offers for requests of other rounds are ignored. The first offer of each
     * partition moves the end of the round to [betaUs] after [nowUs].
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

    /** Returns whether all of [partitions] have made an offer. An empty offer counts. */
    fun hasOfferFromAll(partitions: Set<String>) = partitionsWithOffer.containsAll(partitions)

    /** Returns whether any partition has offered capacity for a request of the job. */
    fun hasOfferFor(job: Job): Boolean =
        requests.any { request -> request.job === job && offersFor(request.request.requestNumber).values.any { it.isNotEmpty() } }

    /** Returns the offers for the request with this number, by partition. */
    fun offersFor(requestNumber: Long): Map<String, List<HeldSlots>> = offers[requestNumber] ?: emptyMap()
}
