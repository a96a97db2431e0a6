package lichenstage.authority

import io.vertx.core.json.JsonObject
import lichenstage.common.JsonDecodingException
import lichenstage.state.Entry
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows

/** The records that other versions read and write too, name by name. */
class OwnershipRecordsTest {
    @Example
    fun `the keys are those of all versions`() {
        assertEquals("c/leader", OwnershipRecords.LEADER_KEY)
        assertEquals("c/terms", OwnershipRecords.TERM_COUNTER_KEY)
        assertEquals("c/part/z/0", OwnershipRecords.partitionKey("z/0"))
        assertEquals("z/0", OwnershipRecords.partitionOf("c/part/z/0"))
    }

    @Example
    fun `an ownership is written by its names and read back`() {
        val record = OwnershipRecords.encodeOwnership("n0", 7, 3)
        assertEquals("""{"label":"n0","term":7,"lease":3}""", record.encode())
        assertEquals(Holder("n0", 7, 3, 40), OwnershipRecords.decodeHolder(Entry("c/leader", record, 40)))
    }

    @Example
    fun `the term counter is written by its names and read back`() {
        val record = OwnershipRecords.encodeTermCounter(TermCounter(9, listOf("c/leader", "c/part/z/0")))
        assertEquals("""{"term":9,"owned":["c/leader","c/part/z/0"]}""", record.encode())
        assertEquals(9L, OwnershipRecords.decodeLastTerm(record))
        assertEquals(listOf("c/leader", "c/part/z/0"), OwnershipRecords.decodeEverOwnedKeys(record))
    }

    @Example
    fun `a record without a term is refused by the name of the field`() {
        val entry = Entry("c/leader", JsonObject().put("label", "n0").put("lease", 3), 40)
        val failure = assertThrows(JsonDecodingException::class.java) { OwnershipRecords.decodeHolder(entry) }
        assertEquals("term", failure.field)
    }
}
