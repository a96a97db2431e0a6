package lichenstage.placement

import lichenstage.common.LruMap

/** The kinds of requests for which the last round found no usable capacity. */
internal class UnplacedKinds {
    /** The number of the last round that requested capacity for a kind and placed nothing. */
    private val lastRounds = LruMap<RequestKind, Long>(MAX_KINDS)
    private var roundCounter = 0L

    /**
     * Records the end of a round.
     *
     * @param requestedJobs the jobs that the round has requested capacity for
     * @param placedJobs those of them for which the round has started a task
     */
    fun onRoundEnded(
        requestedJobs: Set<Job>,
        placedJobs: Set<Job>,
    ) {
        roundCounter++
        val placedKinds = placedJobs.mapTo(HashSet()) { it.requestKind }
        lastRounds.keys -= placedKinds
        for (job in requestedJobs) {
            if (job.requestKind !in placedKinds) lastRounds[job.requestKind] = roundCounter
        }
    }

    /** Returns whether the last request for a job of this kind has placed nothing. */
    operator fun contains(kind: RequestKind) = kind in lastRounds.keys

    /** Returns the number of the last round that requested capacity for this kind, which is unplaced. */
    fun lastRoundOf(kind: RequestKind): Long = lastRounds[kind] ?: 0

    private companion object {
        const val MAX_KINDS = 4096
    }
}
