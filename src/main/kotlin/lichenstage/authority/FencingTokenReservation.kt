package lichenstage.authority

import lichenstage.state.Change
import lichenstage.state.Entry
import lichenstage.state.KeyValueStore
import lichenstage.state.Precondition
import lichenstage.state.TransactionResult

/**
 * The reservation of fencing tokens for the owner of a partition, from the counter of all terms (invariant 6). No other controller
 * receives the same tokens, and the term of every later owner is above them, whichever version that owner runs. The ownership is a
 * precondition of the write, so the write cannot succeed after the ownership has ended.
 */
internal class FencingTokenReservation(
    private val store: KeyValueStore,
    private val table: OwnershipTable,
) {
    private var isInProgress = false

    /** Returns [count] tokens reserved under the [ownership] of [key]; null if the reservation failed or another one is in progress. */
    suspend fun reserve(
        key: String,
        ownership: Ownership,
        count: Int,
    ): LongRange? {
        val counterRevision = table.modRevision(OwnershipRecords.TERM_COUNTER_KEY) ?: return null
        if (isInProgress) return null
        isInProgress = true
        try {
            val counter = table.counterAfter(count)
            val record = OwnershipRecords.encodeTermCounter(counter)
            val preconditions =
                listOf(Precondition(OwnershipRecords.TERM_COUNTER_KEY, counterRevision), Precondition(key, ownership.modRevision))
            val result = store.commit(preconditions, listOf(Change.Put(OwnershipRecords.TERM_COUNTER_KEY, record)))
            if (result !is TransactionResult.Committed) return null
            table.put(Entry(OwnershipRecords.TERM_COUNTER_KEY, record, result.revision))
            return counter.term - count + 1..counter.term
        } finally {
            isInProgress = false
        }
    }
}
