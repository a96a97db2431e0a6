package lichenstage.placement

import lichenstage.common.LruMap

/** The kinds of requests for which the last round found no usable capacity. */
internal class UnplacedKinds {
    /** The result of the last round that requested capacity for a kind and placed nothing. */
    private class UnplacedRound(
        val round: Long,
        val hadOffers: Boolean,
    )

    private val lastRounds = LruMap<RequestKind, UnplacedRound>(MAX_KINDS)
    private var roundCounter = 0L

    /**
     * Records the end of a round.
     *
     * @param requestedJobs the jobs that the round has requested capacity for
     * @param placedJobs those of them for which the round has started a task
     * @param hadOffers returns whether a job was offered capacity
     */
    fun onRoundEnded(
        requestedJobs: Set<Job>,
        placedJobs: Set<Job>,
        hadOffers: (Job) -> Boolean,
    ) {
        roundCounter++
        val placedKinds = placedJobs.mapTo(HashSet()) { it.requestKind }
        lastRounds.keys -= placedKinds
        for (job in requestedJobs) {
            if (job.requestKind !in placedKinds) lastRounds[job.requestKind] = UnplacedRound(roundCounter, hadOffers(job))
        }
    }

    /** Returns whether the last request for a job of this kind has placed nothing. */
    operator fun contains(kind: RequestKind) = kind in lastRounds.keys

    /** Returns the number of the last round that requested capacity for this kind, which is unplaced. */
    fun lastRoundOf(kind: RequestKind): Long = lastRounds[kind]?.round ?: 0

    /**
     * Returns whether capacity was held for this kind which none of its tasks could use. Its next request comes after those of other jobs,
     * which may be able to use that capacity.
     */
    fun leftOffersUnused(kind: RequestKind): Boolean = lastRounds[kind]?.hadOffers == true

    private companion object {
        const val MAX_KINDS = 4096
    }
}
