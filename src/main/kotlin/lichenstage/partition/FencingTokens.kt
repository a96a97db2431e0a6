package lichenstage.partition

import lichenstage.common.SECOND

/**
 * The tokens under which a partition's owner commands its machines: its [term], and above it tokens that the state service has reserved
 * for it alone, from the counter of all terms. A machine that has shown a higher token refuses all that was sent to it under a lower
 * one, however late that comes. Each later owner's term is higher than all of them.
 */
internal class FencingTokens(
    private val term: Long,
    private val acquiredUs: Long,
) {
    private val reserved = ArrayDeque<LongRange>()
    private var lastRequestedUs = Long.MIN_VALUE / 2

    /** The highest token that was handed out. */
    var highest = term
        private set

    private val remaining get() = reserved.sumOf { it.last - it.first + 1 }

    /** More should be reserved, long before the last is needed: the state service may be away then. */
    val isLow get() = remaining < LOW

    /**
     * True where tokens should be reserved now; again after a while, since a reservation may come to nothing. Not in the first seconds of
     * an ownership, in which keys change hands, unless one [isLacking].
     */
    fun reservationDue(
        now: Long,
        isLacking: Boolean,
    ): Boolean {
        if (!isLow || now - lastRequestedUs < RETRY_INTERVAL_US || (!isLacking && now - acquiredUs < SETTLING_US)) return false
        lastRequestedUs = now
        return true
    }

    /** Takes up tokens that were reserved; those that are not above all others are of no use. */
    fun add(fencingTokens: LongRange) {
        val last = reserved.lastOrNull()?.last ?: highest
        if (!fencingTokens.isEmpty() && fencingTokens.first > last) reserved.addLast(fencingTokens)
    }

    /** A token above all that were handed out; null where none is left. */
    fun next(): Long? {
        val range = reserved.removeFirstOrNull() ?: return null
        if (range.first < range.last) reserved.addFirst(range.first + 1..range.last)
        highest = range.first
        return highest
    }

    /** A machine of this partition that shows the token has it from this owner. */
    fun isOwnersToken(fencingToken: Long) = fencingToken in term..highest

    private companion object {
        const val LOW = 16L
        const val RETRY_INTERVAL_US = 2 * SECOND
        const val SETTLING_US = 4 * SECOND
    }
}
