package lichenstage.authority

import io.vertx.core.json.JsonObject
import lichenstage.state.Entry
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

/** The table of ownership as a watch and a scan bring them. */
class OwnershipTableTest {
    private val table = OwnershipTable()

    private fun held(
        modRevision: Long,
        label: String = "n0",
    ) = Entry(KEY, JsonObject().put("label", label).put("term", modRevision).put("lease", 1L), modRevision)

    private fun deleted(modRevision: Long) = Entry(KEY, JsonObject(), modRevision)

    /** Guards against a key that nobody takes since it is taken for held by one who has let go of it. */
    @Example
    fun `a key that was put and deleted while nothing was heard is gone`() {
        table.applyChanges(listOf(held(5)), listOf(deleted(7)))
        assertTrue(KEY !in table) { "${table.holder(KEY)}" }
        table.applyChanges(listOf(held(8), held(10, "n1")), listOf(deleted(9)))
        assertEquals("n1", table.holder(KEY)?.label) { "${table.holder(KEY)}" }
    }

    @Example
    fun `a scan does not take back what has changed since it began`() {
        table.applyChanges(listOf(held(5)), emptyList())
        table.applyScan(emptyList(), 4)
        assertEquals(5L, table.holder(KEY)?.modRevision) { "forgotten: ${table.holder(KEY)}" }
        table.applyScan(emptyList(), 6)
        assertTrue(KEY !in table && table.holder(KEY) == null) { "kept: ${table.holder(KEY)}" }
    }

    private companion object {
        const val KEY = "c/leader"
    }
}
