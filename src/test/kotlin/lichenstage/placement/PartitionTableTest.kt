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
        assertNull(table.acceptFrame(partitionFrame("z", 0).copy(leaderTerm = 6), SECOND))
        assertNull(table.acceptFrame(partitionFrame("x", 0), SECOND))
        assertTrue(table.byId.isEmpty()) { "${table.byId.keys}" }
    }

    @Example
    fun `a frame that is older than what is known is ignored`() {
        val older = partitionFrame("z", 1)
        val newer = partitionFrame("z", 2)
        assertNotNull(table.acceptFrame(newer, SECOND))
        assertNull(table.acceptFrame(older, 2 * SECOND))
        assertEquals(SECOND, table["z/0"]!!.lastFrameAtUs) { "a late frame counts as the latest" }
    }

    @Example
    fun `a frame that builds on a version that is not known is ignored`() {
        assertNull(table.acceptFrame(partitionFrame("z", 0).copy(since = 1), SECOND))
        assertEquals(0, table["z/0"]!!.version)
    }

    @Example
    fun `a frame that leaves machines out does not move the reflected frame number`() {
        table.acceptFrame(partitionFrame("z", 2, ageUs = SECOND), SECOND)
        table.acceptFrame(partitionFrame("z", 5, ageUs = 9 * SECOND, isFinal = false), 2 * SECOND)
        assertEquals(2, table["z/0"]!!.reflectedSeq) { "believed a piece" }
        assertEquals(SECOND, table["z/0"]!!.ownershipAgeUs) { "believed a piece" }
        table.acceptFrame(partitionFrame("z", 5, ageUs = 10 * SECOND), 3 * SECOND)
        assertEquals(5, table["z/0"]!!.reflectedSeq) { "ignored a whole frame" }
    }

    @Example
    fun `under a new owner all begins anew, and frames of the owner before are ignored`() {
        table.acceptFrame(partitionFrame("z", 4, term = 3), SECOND)!!.machines["m1"] = machineState("m1")
        val ofNewOwner = table.acceptFrame(partitionFrame("z", 0, term = 4), 2 * SECOND)
        assertEquals(listOf("z/0", "z/0"), newOwners)
        assertTrue(ofNewOwner!!.machines.isEmpty() && ofNewOwner.reflectedSeq == 0L) { "kept what the owner before has shown" }
        assertNull(table.acceptFrame(partitionFrame("z", 9, term = 3), 3 * SECOND))
    }

    @Example
    fun `a partition without frames for a while is not reachable`() {
        table.acceptFrame(partitionFrame("z", 0), SECOND)
        assertEquals(setOf("z/0"), table.reachablePartitions(3 * SECOND))
        assertTrue(table.reachablePartitions(4 * SECOND).isEmpty()) { "still counted" }
    }

    @Example
    fun `cores are counted of machines that are not lost`() {
        val partition = table.acceptFrame(partitionFrame("z", 0), SECOND)!!
        listOf(machineState("m1"), machineState("m2"), machineState("m3", lost = true)).forEach { partition.machines[it.name] = it }
        assertEquals(32.0, table.totalCores { 16.0 })
        assertEquals(listOf("m3"), table.machinesWhere { it.isLost }.map { it.machine.name })
    }
}
