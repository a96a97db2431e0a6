package lichenstage.model

import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue

/** Guards against controllers that disagree on the partition of a machine, and against partitions with far more machines than others. */
class PartitionAssignmentTest {
    @Property(tries = 100, seed = "4")
    fun `all controllers compute the same partitions in any order of zones and controllers`(
        @ForAll @IntRange(min = 1, max = 9) controllerCount: Int,
        @ForAll @IntRange(min = 1, max = 4) zoneCount: Int,
        @ForAll @IntRange(min = 0, max = 2) shift: Int,
    ) {
        val zones = List(zoneCount) { "z$it" }
        val controllers = (0 until controllerCount).associate { "n$it" to "z${(it + shift) % (zoneCount + 1)}" }
        val assignment = PartitionAssignment(zones, controllers)
        val reordered = PartitionAssignment(zones.reversed(), controllers.entries.reversed().associate { it.key to it.value })
        assertEquals(reordered.partitions, assignment.partitions) { "${assignment.partitions} and ${reordered.partitions}" }
        for (zone in zones) {
            val homes = assignment.partitions.filter { assignment.zoneOf(it) == zone }.map(assignment::homeController)
            val zoneControllers = controllers.filterValues { it == zone }.keys
            assertTrue(if (zoneControllers.isEmpty()) homes == listOf(null) else homes.toSet() == zoneControllers) {
                "$zone: $homes, not $zoneControllers"
            }
            for (n in 0 until 50) {
                val partition = assignment.partitionOf("vm-$n", zone)
                assertTrue(
                    partition == reordered.partitionOf("vm-$n", zone) && assignment.zoneOf(partition!!) == zone,
                ) { "vm-$n: $partition" }
            }
        }
        assertNull(assignment.partitionOf("vm-1", "nowhere")) { "a machine of an unknown zone has a partition" }
    }

    /** With a poor hash, the machines of a zone land in one partition if their numbers differ by the number of partitions. */
    @Example
    fun `the machines of a zone are spread evenly for any stride between their numbers`() {
        val assignment = PartitionAssignment(listOf("z"), mapOf("a" to "z", "b" to "z", "c" to "z"))
        for (stride in 1..6) {
            val sizes = (0 until 300).groupingBy { assignment.partitionOf("vm-%06d".format(it * stride), "z") }.eachCount()
            assertTrue(sizes.size == 3 && sizes.values.all { it in 70..130 }) { "$stride: $sizes" }
        }
    }
}
