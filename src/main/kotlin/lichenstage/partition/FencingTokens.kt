package lichenstage.partition

import lichenstage.common.SECOND

/**
 * The fencing tokens of one owner of a partition. The first token is the owner's [term]. The others are higher numbers that the key-value
 * store has reserved for this owner alone, from the same counter as all terms.
 *
 * A machine that has shown a token refuses everything sent under a lower token, however late it arrives. The term of each later owner is
 * higher than all tokens of this owner (invariant 6).
 *
 * @property term the term under which the partition is owned
 * @property acquiredAtUs when this owner acquired the partition
 */
internal class FencingTokens(
    private val term: Long,
    private val acquiredAtUs: Long,
) {
    private val reservedRanges = ArrayDeque<LongRange>()
    private var lastReservationAtUs = Long.MIN_VALUE / 2

    /** The highest token issued so far. */
    var highestIssued = term
        private set

    private val remainingCount get() = reservedRanges.sumOf { it.last - it.first + 1 }

    /**
     * Whether more tokens should be reserved. The threshold is reached long before the last token is needed, because the state service
     * may be unavailable at that time.
     */
    val isLow get() = remainingCount < LOW_WATERMARK

    /**
     * Returns whether the caller should reserve tokens now, and records the attempt if so.
     *
     * A reservation may fail, so it is attempted again after a while. In the first seconds of an ownership the state service is busy with
     * ownership keys, so there are no attempts then unless [lacksTokens] is set.
     *
     * @param lacksTokens whether a machine needs a newer token and no reserved one is left
     */
    fun beginReservationIfDue(
        nowUs: Long,
        lacksTokens: Boolean,
    ): Boolean {
        if (!isLow || nowUs - lastReservationAtUs < RETRY_INTERVAL_US || (!lacksTokens && nowUs - acquiredAtUs < HANDOVER_US)) return false
        lastReservationAtUs = nowUs
        return true
    }

    /** Adds reserved tokens. A range that is not higher than all issued and reserved tokens is ignored. */
    fun addReserved(fencingTokens: LongRange) {
        val last = reservedRanges.lastOrNull()?.last ?: highestIssued
        if (!fencingTokens.isEmpty() && fencingTokens.first > last) reservedRanges.addLast(fencingTokens)
    }

    /** Issues the next token, which is higher than all issued before. Returns null if none is left. */
    fun next(): Long? {
        val range = reservedRanges.removeFirstOrNull() ?: return null
        if (range.first < range.last) reservedRanges.addFirst(range.first + 1..range.last)
        highestIssued = range.first
        return highestIssued
    }

    /** Returns whether [fencingToken], which a machine of this partition has shown, was issued by this owner. */
    fun isIssuedByOwner(fencingToken: Long) = fencingToken in term..highestIssued

    private companion object {
        const val LOW_WATERMARK = 16L
        const val RETRY_INTERVAL_US = 2 * SECOND

        /** The time after a failover in which the state service is busy with the keys that change owners. */
        const val HANDOVER_US = 4 * SECOND
    }
}
