package lichenstage.authority

import lichenstage.state.Change
import lichenstage.state.Entry
import lichenstage.state.KeyValueStore
import lichenstage.state.Precondition
import lichenstage.state.TransactionResult

/**
 * Reserves tokens for the owner of a partition, from the counter of all terms: no one else is given them, and every later owner's term
 * is above them, whichever version it is of. The write is guarded by the ownership, so that it can't succeed after it.
 */
internal class FencingTokenReservation(
    private val state: KeyValueStore,
    private val keys: OwnershipTable,
) {
    private var underWay = false

    /** [count] tokens for the holder [held] of [key]; null where they could not be had now. */
    suspend fun reserve(
        key: String,
        held: Holder,
        count: Int,
    ): LongRange? {
        val modRevision = keys.modRevision(OwnershipTable.TERMS) ?: return null
        if (underWay) return null
        underWay = true
        try {
            val counter = keys.counterAfter(count)
            val value = counter.encode()
            val preconditions = listOf(Precondition(OwnershipTable.TERMS, modRevision), Precondition(key, held.modRevision))
            val outcome = state.commit(preconditions, listOf(Change.Put(OwnershipTable.TERMS, value)))
            if (outcome !is TransactionResult.Committed) return null
            keys.put(Entry(OwnershipTable.TERMS, value, outcome.revision))
            return counter.term - count + 1..counter.term
        } finally {
            underWay = false
        }
    }
}
