package lichenstage.cluster

import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import net.jqwik.api.constraints.Size
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

/** Guards against tasks placed beyond the offered capacity, and against small requests that break up empty machines. */
class PlacementScoreTest {
    private fun freeSlots(
        name: String,
        maxCount: Int,
        hasImage: Boolean = false,
    ) = HeldSlots(name, maxCount, maxCount, hasImage)

    @Property(tries = 300, seed = "99")
    fun `the selection fills the request as far as the offers allow and never exceeds an offer`(
        @ForAll @Size(max = 12) numbers: List<Int>,
        @ForAll @IntRange(min = 0, max = 60) count: Int,
    ) {
        val capacities = numbers.map { Math.floorMod(it, 17) }
        val offers = capacities.mapIndexed { i, maxCount -> freeSlots("m$i", maxCount, i % 3 == 0) }
        val selected = PlacementScore.selectRoomiest(offers, count)
        assertEquals(minOf(count, capacities.sum()), selected.sumOf { it.count }) { "$capacities $count: $selected" }
        assertTrue(selected.all { it.count in 1..offers.first { o -> o.machine == it.machine }.count }) { "$capacities $count: $selected" }
    }

    @Example
    fun `a small request takes a partly used machine before an empty one`() {
        val selected = PlacementScore.selectRoomiest(listOf(freeSlots("whole", 16), freeSlots("broken", 5)), 3)
        assertEquals(listOf("broken"), selected.map { it.machine }) { "$selected" }
    }

    @Example
    fun `machines rank by usable capacity first and by the image next`() {
        val offers =
            listOf(
                freeSlots("whole", 16),
                freeSlots("warm", 3, hasImage = true),
                freeSlots("warm whole", 16, hasImage = true),
            )
        assertEquals(
            listOf("warm whole"),
            PlacementScore.selectRoomiest(offers, 8).map {
                it.machine
            },
        ) { "${PlacementScore.selectRoomiest(offers, 8)}" }
        assertEquals(
            listOf("warm"),
            PlacementScore.selectRoomiest(offers, 2).map { it.machine },
        ) { "${PlacementScore.selectRoomiest(offers, 2)}" }
    }
}
