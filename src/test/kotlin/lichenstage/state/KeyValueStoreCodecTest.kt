package lichenstage.state

import io.vertx.core.json.JsonObject
import lichenstage.common.JsonDecodingException
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue

/** Guards against paths and documents that differ from the protocol of the state service. */
class KeyValueStoreCodecTest {
    @Example
    fun `a transaction is encoded with its preconditions and changes in order`() {
        val preconditions = listOf(Precondition("c/leader", 7), Precondition.absent("j/1"))
        val changes =
            listOf(Change.Put("j/1", JsonObject().put("n", 1), leaseId = 4), Change.Put("j/2", JsonObject()), Change.Delete("j/3"))
        assertEquals(
            """{"guards":[{"k":"c/leader","stamp":7},{"k":"j/1","stamp":0}],"then":""" +
                """[{"put":"j/1","value":{"n":1},"tenancy":4},{"put":"j/2","value":{}},{"delete":"j/3"}]}""",
            KeyValueStoreCodec.encodeTransaction(preconditions, changes).encode(),
        )
    }

    @Example
    fun `paths contain the prefix, the last key and the revision`() {
        assertEquals("/kv?prefix=j/&most=200", KeyValueStoreCodec.scanPath("j/", null))
        assertEquals("/kv?prefix=j/&since=j/9&most=200", KeyValueStoreCodec.scanPath("j/", "j/9"))
        assertEquals("/changes?prefix=c/&since=12&wait_ms=500", KeyValueStoreCodec.watchPath("c/", 12, 500))
        assertEquals("/leases/3/renew", KeyValueStoreCodec.leaseRenewalPath(3))
    }

    @Example
    fun `a page is decoded with its keys, its revision and whether it is truncated`() {
        val page =
            KeyValueStoreCodec.decodePage(
                JsonObject("""{"rows":[{"k":"a","value":{"x":1},"stamp":5}],"ledger_rev":9,"truncated":true}"""),
            )
        assertEquals(listOf(Entry("a", JsonObject().put("x", 1), 5)), page.entries)
        assertEquals(9L, page.revision)
        assertTrue(page.isTruncated)
        assertFalse(KeyValueStoreCodec.decodePage(JsonObject("""{"rows":[],"ledger_rev":9}""")).isTruncated)
    }

    @Example
    fun `events are decoded as puts and deletes`() {
        val body = JsonObject("""{"ledger_rev":8,"events":[{"put":"a","value":{},"stamp":6},{"delete":"b","stamp":7}]}""")
        val expected = WatchResult.Events(8, listOf(Entry("a", JsonObject(), 6)), listOf(Entry("b", JsonObject(), 7)))
        assertEquals(expected, KeyValueStoreCodec.decodeEvents(body))
    }

    @Example
    fun `decoding a malformed document throws an exception with the field and the expected type`() {
        fun failure(document: String) =
            assertThrows(JsonDecodingException::class.java) { KeyValueStoreCodec.decodeEntry(JsonObject(document)) }

        val missing = failure("""{"k":"a","value":{}}""")
        assertEquals("stamp" to "a number", missing.field to missing.expected)
        val wrong = failure("""{"k":"a","value":7,"stamp":5}""")
        assertEquals("value" to "an object", wrong.field to wrong.expected)
    }
}
