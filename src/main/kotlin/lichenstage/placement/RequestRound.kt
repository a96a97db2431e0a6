package lichenstage.placement

import lichenstage.cluster.HeldSlots

/** Requests that were broadcast together, and what the partitions have answered so far. */
class RequestRound(
    val requests: List<JobRequest>,
    now: Long,
    alphaUs: Long,
) {
    private val stamps = requests.mapTo(HashSet()) { it.request.stamp }
    private val offers = HashMap<Long, HashMap<String, List<HeldSlots>>>()
    private val answered = HashSet<String>()
    var deadlineUs = now + alphaUs
        private set

    /** Takes an offer; after each, the wait is [betaUs] from now. */
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

    /** All of these have answered. */
    fun allAnswered(partitions: Set<String>) = answered.containsAll(partitions)

    /** The offers for a request, by partition. */
    fun of(stamp: Long): Map<String, List<HeldSlots>> = offers[stamp] ?: emptyMap()
}
