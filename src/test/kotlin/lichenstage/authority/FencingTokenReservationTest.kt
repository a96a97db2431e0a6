package lichenstage.authority

import io.vertx.core.json.JsonObject
import kotlinx.coroutines.runBlocking
import lichenstage.state.Change
import lichenstage.state.Entry
import lichenstage.state.KeyValueStore
import lichenstage.state.Precondition
import lichenstage.state.ReadResult
import lichenstage.state.TransactionResult
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue

/** Guards against fencing tokens that two owners share: tokens come from the term counter, and only while the ownership exists. */
class FencingTokenReservationTest {
    /** A state service that replies with a fixed result and records the transactions it receives. */
    private class FixedResultStore(
        private val result: TransactionResult,
    ) : KeyValueStore {
        val preconditions = ArrayList<List<Precondition>>()
        val changes = ArrayList<Change>()

        override suspend fun get(
            key: String,
            timeoutMs: Long,
        ): ReadResult = ReadResult.Unavailable

        override suspend fun commit(
            preconditions: List<Precondition>,
            changes: List<Change>,
            timeoutMs: Long,
            isUrgent: Boolean,
        ): TransactionResult {
            this.preconditions.add(preconditions)
            this.changes += changes
            return result
        }
    }

    private val ownership = Ownership("n0", 7, 1, 40)
    private val table =
        OwnershipTable().apply {
            put(Entry(OwnershipRecords.TERM_COUNTER_KEY, OwnershipRecords.encodeTermCounter(TermCounter(9, listOf(KEY))), 41))
            put(Entry(KEY, JsonObject().put("label", "n0").put("term", 7L).put("lease", 1L), 40))
        }

    private fun reserve(store: KeyValueStore) = runBlocking { FencingTokenReservation(store, table).reserve(KEY, ownership, 4) }

    @Example
    fun `reserved tokens are above all terms, advance the counter, and have the ownership as a precondition`() {
        val store = FixedResultStore(TransactionResult.Committed(50))
        assertEquals(10L..13L, reserve(store)) { "${table.lastTerm()}" }
        assertEquals(listOf(Precondition(OwnershipRecords.TERM_COUNTER_KEY, 41L), Precondition(KEY, 40L)), store.preconditions.single()) {
            "${store.preconditions}"
        }
        val written = store.changes.single() as Change.Put
        assertTrue(
            written.key == OwnershipRecords.TERM_COUNTER_KEY &&
                written.value == OwnershipRecords.encodeTermCounter(TermCounter(13, listOf(KEY))),
        ) { "$written" }
        assertNull(written.leaseId) { "the counter would be deleted when the lease ends" }
        // The next owner, in any version, takes the term after the counter.
        assertEquals(14L, table.nextCounter(KEY).term) { "${table.nextCounter(KEY).term}" }
        assertEquals(14L..17L, reserve(FixedResultStore(TransactionResult.Committed(51)))) { "second reservation" }
    }

    @Example
    fun `a refused or indeterminate transaction reserves no tokens`() {
        for (outcome in listOf(
            TransactionResult.Conflict(),
            TransactionResult.Rejected,
            TransactionResult.Indeterminate,
            TransactionResult.LeaseExpired,
        )) {
            assertNull(reserve(FixedResultStore(outcome))) { "$outcome" }
            assertEquals(9L, table.lastTerm()) { "$outcome: ${table.lastTerm()}" }
        }
    }

    private companion object {
        const val KEY = "c/part/z/0"
    }
}
