package lichenstage.authority

import io.vertx.core.json.JsonObject
import lichenstage.state.Entry
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

/** Guards against an outdated ownership table after scans and watch results that arrive in any order. */
class OwnershipTableTest {
    private val table = OwnershipTable()

    private fun ownershipEntry(
        modRevision: Long,
        label: String = "n0",
    ) = Entry(KEY, JsonObject().put("label", label).put("term", modRevision).put("lease", 1L), modRevision)

    private fun deletionEntry(modRevision: Long) = Entry(KEY, JsonObject(), modRevision)

    /**
     * Guards against a key that no controller acquires, because the table still shows its former owner. This can happen if the key is put
     * and deleted while the watch is interrupted.
     */
    @Example
    fun `a key that was put and deleted within one batch of changes is absent`() {
        table.applyChanges(listOf(ownershipEntry(5)), listOf(deletionEntry(7)))
        assertTrue(KEY !in table) { "${table.ownership(KEY)}" }
        table.applyChanges(listOf(ownershipEntry(8), ownershipEntry(10, "n1")), listOf(deletionEntry(9)))
        assertEquals("n1", table.ownership(KEY)?.label) { "${table.ownership(KEY)}" }
    }

    @Example
    fun `a scan does not undo changes after its revision`() {
        table.applyChanges(listOf(ownershipEntry(5)), emptyList())
        table.applyScan(emptyList(), 4)
        assertEquals(5L, table.ownership(KEY)?.modRevision) { "the later change is lost: ${table.ownership(KEY)}" }
        table.applyScan(emptyList(), 6)
        assertTrue(KEY !in table && table.ownership(KEY) == null) { "the deleted key is still there: ${table.ownership(KEY)}" }
    }

    private companion object {
        const val KEY = "c/leader"
    }
}
