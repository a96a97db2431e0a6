package lichenstage.placement

import lichenstage.cluster.HeldSlots
import lichenstage.model.PartitionAssignment
import lichenstage.model.Priority
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue

class OfferSelectionTest {
    private val offers =
        mapOf(
            "y/0" to listOf(HeldSlots("a", 4, 4, false)),
            "z/0" to listOf(HeldSlots("b", 3, 3, false)),
            "z/1" to listOf(HeldSlots("c", 6, 6, false)),
        )

    private fun zoneOf(partition: String) = partition.substringBefore('/')

    private val zones = ZoneConstraints(PartitionAssignment(listOf("y", "z"), mapOf("n1" to "y", "n2" to "z", "n3" to "z")))

    private fun job(
        requiresSameZone: Boolean = false,
        requiresSpread: Boolean = false,
    ) = Job(oneCoreSpec(1, "c", Priority.HIGH, 9).copy(requiresSameZone = requiresSameZone, requiresSpread = requiresSpread), 1, 0)

    private fun Job.addAttempt(
        index: Int,
        partition: String,
    ) = liveAttempts.put(index, Attempt(this, index, 10L + index, "m", partition))

    @Example
    fun `a zone gets no more tasks than its limit, and the best zone is the one with the most slots on offer`() {
        val slots = OfferSelection.selectRoomiest(offers, 9, ::zoneOf) { 5 }
        assertTrue(slots.count { zoneOf(it.partition) == "z" } == 5 && slots.size == 9) { "$slots" }
        assertEquals("z", OfferSelection.bestZone(offers, ::zoneOf)) { "not the zone with the larger offer" }
    }

    @Example
    fun `the machine with room for the most tasks is filled first, and among equals the fullest machine`() {
        fun selected(maxTasks: Int) = OfferSelection.selectRoomiest(offers, maxTasks, ::zoneOf) { Int.MAX_VALUE }.map { it.machine }
        assertEquals(List(6) { "c" } + "b", selected(7), "one task is left, and b has the least room besides it")
        assertEquals(listOf("b"), selected(1), "all machines have room for the task")
    }

    @Example
    fun `without offers no slot is selected and there is no best zone`() {
        assertTrue(OfferSelection.selectRoomiest(emptyMap(), 5, ::zoneOf) { Int.MAX_VALUE }.isEmpty())
        assertNull(OfferSelection.bestZone(emptyMap(), ::zoneOf))
    }

    @Example
    fun `a job without zone constraints may use any zone without limit`() {
        val remaining = zones.remainingTasksByZone(job(), offers)
        assertEquals(listOf(Int.MAX_VALUE, Int.MAX_VALUE), listOf("y", "z").map(remaining))
    }

    @Example
    fun `a spread job has at most half of its tasks in a zone, rounded up`() {
        val job = job(requiresSpread = true)
        job.addAttempt(0, "z/0")
        job.addAttempt(1, "z/1")
        val remaining = zones.remainingTasksByZone(job, offers)
        assertEquals(listOf(5, 3), listOf("y", "z").map(remaining))
        assertNull(zones.requestedZone(job))
    }

    @Example
    fun `a single-zone job starts in the zone with the most slots on offer and stays in the zone of its tasks`() {
        val job = job(requiresSameZone = true)
        assertNull(zones.requestedZone(job))
        assertEquals(listOf(0, Int.MAX_VALUE), listOf("y", "z").map(zones.remainingTasksByZone(job, offers)))
        job.addAttempt(0, "y/0")
        assertEquals("y", zones.requestedZone(job))
        assertEquals(listOf(Int.MAX_VALUE - 1, 0), listOf("y", "z").map(zones.remainingTasksByZone(job, offers)))
    }
}
