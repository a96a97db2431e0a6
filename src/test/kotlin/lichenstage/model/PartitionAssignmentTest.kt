package lichenstage.model

import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue

class PartitionAssignmentTest {
    @Property(tries = 100, seed = "4")
    fun `any number of controllers, in zones of their own or not, see the same parts`(
        @ForAll @IntRange(min = 1, max = 9) count: Int,
        @ForAll @IntRange(min = 1, max = 4) zoneCount: Int,
        @ForAll @IntRange(min = 0, max = 2) shift: Int,
    ) {
        val zones = List(zoneCount) { "z$it" }
        val controllers = (0 until count).associate { "n$it" to "z${(it + shift) % (zoneCount + 1)}" }
        val one = PartitionAssignment(zones, controllers)
        val other = PartitionAssignment(zones.reversed(), controllers.entries.reversed().associate { it.key to it.value })
        assertEquals(other.partitions, one.partitions) { "${one.partitions} and ${other.partitions}" }
        for (zone in zones) {
            val homes = one.partitions.filter { one.zone(it) == zone }.map(one::home)
            val here = controllers.filterValues { it == zone }.keys
            assertTrue(if (here.isEmpty()) homes == listOf(null) else homes.toSet() == here) { "$zone: $homes, not $here" }
            for (n in 0 until 50) {
                val partition = one.partitionOf("vm-$n", zone)
                assertTrue(partition == other.partitionOf("vm-$n", zone) && one.zone(partition!!) == zone) { "vm-$n: $partition" }
            }
        }
        assertNull(one.partitionOf("vm-1", "nowhere")) { "a part in no zone" }
    }

    @Example
    fun `the machines of a zone spread evenly, also where names differ in every third number only`() {
        val assignment = PartitionAssignment(listOf("z"), mapOf("a" to "z", "b" to "z", "c" to "z"))
        for (stride in 1..6) {
            val sizes = (0 until 300).groupingBy { assignment.partitionOf("vm-%06d".format(it * stride), "z") }.eachCount()
            assertTrue(sizes.size == 3 && sizes.values.all { it in 70..130 }) { "$stride: $sizes" }
        }
    }
}
