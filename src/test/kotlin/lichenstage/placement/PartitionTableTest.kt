package lichenstage.placement

import lichenstage.common.SECOND
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue

/** Tests which frames of partition owners are applied, and what the leader concludes from them. */
class PartitionTableTest : LeaderFixture() {
    private val newOwners = ArrayList<String>()
    private val table = PartitionTable(7, assignment) { newOwners += it }

    @Example
    fun `a frame for another leadership term or of an unknown partition is ignored`() {
        assertNull(table.acceptFrame(partitionFrame("z", 0).copy(leaderTerm = 6), SECOND))
        assertNull(table.acceptFrame(partitionFrame("x", 0), SECOND))
        assertTrue(table.byId.isEmpty()) { "${table.byId.keys}" }
    }

    @Example
    fun `a frame that is older than the current state is ignored`() {
        val olderFrame = partitionFrame("z", 1)
        val newerFrame = partitionFrame("z", 2)
        assertNotNull(table.acceptFrame(newerFrame, SECOND))
        assertNull(table.acceptFrame(olderFrame, 2 * SECOND))
        assertEquals(SECOND, table["z/0"]!!.lastFrameAtUs) { "the late frame changed the arrival time" }
    }

    @Example
    fun `a frame with changes since a version that the leader does not have is ignored`() {
        assertNull(table.acceptFrame(partitionFrame("z", 0).copy(since = 1), SECOND))
        assertEquals(0, table["z/0"]!!.version)
    }

    @Example
    fun `a partial frame does not change the reflected sequence number or the ownership age`() {
        table.acceptFrame(partitionFrame("z", 2, ageUs = SECOND), SECOND)
        table.acceptFrame(partitionFrame("z", 5, ageUs = 9 * SECOND, isFinal = false), 2 * SECOND)
        assertEquals(2, table["z/0"]!!.reflectedSeq) { "changed by a partial frame" }
        assertEquals(SECOND, table["z/0"]!!.ownershipAgeUs) { "changed by a partial frame" }
        table.acceptFrame(partitionFrame("z", 5, ageUs = 10 * SECOND), 3 * SECOND)
        assertEquals(5, table["z/0"]!!.reflectedSeq) { "not changed by a final frame" }
    }

    @Example
    fun `a new owner starts with an empty state, and later frames of the old owner are ignored`() {
        table.acceptFrame(partitionFrame("z", 4, term = 3), SECOND)!!.machines["m1"] = machineState("m1")
        val stateOfNewOwner = table.acceptFrame(partitionFrame("z", 0, term = 4), 2 * SECOND)
        assertEquals(listOf("z/0", "z/0"), newOwners)
        assertTrue(stateOfNewOwner!!.machines.isEmpty() && stateOfNewOwner.reflectedSeq == 0L) { "the state of the old owner was kept" }
        assertNull(table.acceptFrame(partitionFrame("z", 9, term = 3), 3 * SECOND))
    }

    @Example
    fun `a partition without recent frames is not reachable`() {
        table.acceptFrame(partitionFrame("z", 0), SECOND)
        assertEquals(setOf("z/0"), table.reachablePartitions(3 * SECOND))
        assertTrue(table.reachablePartitions(4 * SECOND).isEmpty()) { "still reachable" }
    }

    @Example
    fun `lost machines do not count for the total cores`() {
        val partition = table.acceptFrame(partitionFrame("z", 0), SECOND)!!
        listOf(machineState("m1"), machineState("m2"), machineState("m3", isLost = true)).forEach { partition.machines[it.name] = it }
        assertEquals(32.0, table.totalCores { 16.0 })
        assertEquals(listOf("m3"), table.machinesWhere { it.isLost }.map { it.machine.name })
    }
}
