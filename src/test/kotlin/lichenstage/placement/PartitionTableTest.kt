package lichenstage.placement

import lichenstage.common.SECOND
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue

/** Which frames of partitions count, and what the leader takes from them. */
class PartitionTableTest : LeaderFixture() {
    private val newOwners = ArrayList<String>()
    private val table = PartitionTable(7, assignment) { newOwners += it }

    @Example
    fun `a frame for another term of leadership or of an unknown partition is ignored`() {
        assertNull(table.accept(partition("z", 0).copy(leaderTerm = 6), SECOND))
        assertNull(table.accept(partition("x", 0), SECOND))
        assertTrue(table.byId.isEmpty()) { "${table.byId.keys}" }
    }

    @Example
    fun `a frame that is older than what is known is ignored`() {
        val older = partition("z", 1)
        val newer = partition("z", 2)
        assertNotNull(table.accept(newer, SECOND))
        assertNull(table.accept(older, 2 * SECOND))
        assertEquals(SECOND, table["z/0"]!!.lastFrameUs) { "a late frame counts as the latest" }
    }

    @Example
    fun `a frame that builds on a version that is not known is ignored`() {
        assertNull(table.accept(partition("z", 0).copy(since = 1), SECOND))
        assertEquals(0, table["z/0"]!!.version)
    }

    @Example
    fun `a frame that leaves machines out does not move the reflected frame number`() {
        table.accept(partition("z", 2, age = SECOND), SECOND)
        table.accept(partition("z", 5, age = 9 * SECOND, whole = false), 2 * SECOND)
        assertEquals(2, table["z/0"]!!.reflectedSeq) { "believed a piece" }
        assertEquals(SECOND, table["z/0"]!!.ageUs) { "believed a piece" }
        table.accept(partition("z", 5, age = 10 * SECOND), 3 * SECOND)
        assertEquals(5, table["z/0"]!!.reflectedSeq) { "ignored a whole frame" }
    }

    @Example
    fun `under a new owner all begins anew, and frames of the owner before are ignored`() {
        table.accept(partition("z", 4, term = 3), SECOND)!!.machines["m1"] = view("m1")
        val ofNewOwner = table.accept(partition("z", 0, term = 4), 2 * SECOND)
        assertEquals(listOf("z/0", "z/0"), newOwners)
        assertTrue(ofNewOwner!!.machines.isEmpty() && ofNewOwner.reflectedSeq == 0L) { "kept what the owner before has shown" }
        assertNull(table.accept(partition("z", 9, term = 3), 3 * SECOND))
    }

    @Example
    fun `a partition without frames for a while is not reachable`() {
        table.accept(partition("z", 0), SECOND)
        assertEquals(setOf("z/0"), table.reachable(3 * SECOND))
        assertTrue(table.reachable(4 * SECOND).isEmpty()) { "still counted" }
    }

    @Example
    fun `cores are counted of machines that are not lost`() {
        val partition = table.accept(partition("z", 0), SECOND)!!
        listOf(view("m1"), view("m2"), view("m3", lost = true)).forEach { partition.machines[it.name] = it }
        assertEquals(32.0, table.totalCores { 16.0 })
        assertEquals(listOf("m3"), table.machinesWhere { it.isLost }.map { it.machine.name })
    }
}
