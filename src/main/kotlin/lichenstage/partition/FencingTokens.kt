package lichenstage.partition

import lichenstage.common.SECOND

/**
 * The fencing tokens under which the owner of a partition commands its machines: its [term], and above it tokens that the key-value store
 * has reserved for this owner alone from the counter of all terms.
 *
 * A machine that has shown a token refuses everything that was sent to it under a lower one, however late it arrives. The term of each
 * later owner is higher than all of them (invariant 6).
 *
 * @property term the term of the ownership
 * @property acquiredAtUs when the partition was acquired
 */
internal class FencingTokens(
    private val term: Long,
    private val acquiredAtUs: Long,
) {
    private val reservedRanges = ArrayDeque<LongRange>()
    private var lastReservationAtUs = Long.MIN_VALUE / 2

    /** The highest token that was handed out. */
    var highestIssued = term
        private set

    private val remainingCount get() = reservedRanges.sumOf { it.last - it.first + 1 }

    /** More tokens should be reserved. This is long before the last one is needed, since the key-value store may be away by then. */
    val isLow get() = remainingCount < LOW_WATERMARK

    /**
     * Whether tokens should be reserved now; a true answer counts as an attempt. Attempts are repeated after a while, since a reservation
     * may fail. There are none in the first seconds of an ownership, in which ownership keys are written, unless one [lacksToken].
     */
    fun beginReservationIfDue(
        nowUs: Long,
        lacksToken: Boolean,
    ): Boolean {
        if (!isLow || nowUs - lastReservationAtUs < RETRY_INTERVAL_US || (!lacksToken && nowUs - acquiredAtUs < HANDOVER_US)) return false
        lastReservationAtUs = nowUs
        return true
    }

    /** Adds reserved tokens; a range that is not above all others is ignored. */
    fun addReserved(fencingTokens: LongRange) {
        val last = reservedRanges.lastOrNull()?.last ?: highestIssued
        if (!fencingTokens.isEmpty() && fencingTokens.first > last) reservedRanges.addLast(fencingTokens)
    }

    /** A token above all that were handed out; null where none is left. */
    fun next(): Long? {
        val range = reservedRanges.removeFirstOrNull() ?: return null
        if (range.first < range.last) reservedRanges.addFirst(range.first + 1..range.last)
        highestIssued = range.first
        return highestIssued
    }

    /** Whether a machine of this partition that shows [fencingToken] has it from this owner. */
    fun isIssuedByOwner(fencingToken: Long) = fencingToken in term..highestIssued

    private companion object {
        const val LOW_WATERMARK = 16L
        const val RETRY_INTERVAL_US = 2 * SECOND

        /** After a failover the key-value store is busy with the keys that change owners. */
        const val HANDOVER_US = 4 * SECOND
    }
}
