package lichenstage.authority

import io.vertx.core.json.JsonObject
import lichenstage.common.JsonDecodingException
import lichenstage.state.Entry
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows

/** Guards against changed keys and field names of records that other versions also read and write. */
class OwnershipRecordsTest {
    @Example
    fun `the keys are the same as in all versions`() {
        assertEquals("c/leader", OwnershipRecords.LEADER_KEY)
        assertEquals("c/terms", OwnershipRecords.TERM_COUNTER_KEY)
        assertEquals("c/part/z/0", OwnershipRecords.partitionKey("z/0"))
        assertEquals("z/0", OwnershipRecords.partitionOf("c/part/z/0"))
    }

    @Example
    fun `an ownership record has the agreed field names and is decoded to the same ownership`() {
        val record = OwnershipRecords.encodeOwnership("n0", 7, 3)
        assertEquals("""{"label":"n0","term":7,"lease":3}""", record.encode())
        assertEquals(Ownership("n0", 7, 3, 40), OwnershipRecords.decodeOwnership(Entry("c/leader", record, 40)))
    }

    @Example
    fun `the term counter has the agreed field names and is decoded to the same values`() {
        val record = OwnershipRecords.encodeTermCounter(TermCounter(9, listOf("c/leader", "c/part/z/0")))
        assertEquals("""{"term":9,"owned":["c/leader","c/part/z/0"]}""", record.encode())
        assertEquals(9L, OwnershipRecords.decodeLastTerm(record))
        assertEquals(listOf("c/leader", "c/part/z/0"), OwnershipRecords.decodeEverOwnedKeys(record))
    }

    @Example
    fun `decoding a record without a term throws an exception that names the field`() {
        val entry = Entry("c/leader", JsonObject().put("label", "n0").put("lease", 3), 40)
        val failure = assertThrows(JsonDecodingException::class.java) { OwnershipRecords.decodeOwnership(entry) }
        assertEquals("term", failure.field)
    }
}
