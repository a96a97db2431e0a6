package lichenstage.placement

import lichenstage.cluster.HeldSlots
import lichenstage.cluster.PlacementRequest
import lichenstage.common.SECOND
import lichenstage.model.Priority
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue

class RequestRoundTest {
    private val job = Job(oneCoreSpec(1, "c", Priority.HIGH, 2), 1, 0)
    private val request = PlacementRequest(7, "j-1", job.spec.requirements, 2, null, null, true)
    private val round = RequestRound(listOf(JobRequest(request, job)), nowUs = 0, alphaUs = 2 * SECOND)
    private val held = listOf(HeldSlots("m1", 2, 2, false))

    private fun addOffer(
        partition: String,
        requestNumber: Long,
        nowS: Long,
    ) = round.addOffer(partition, requestNumber, held, nowS * SECOND, betaUs = SECOND)

    @Example
    fun `a round ends alpha after its start, and beta after the first offer of each partition`() {
        assertEquals(2 * SECOND, round.endsAtUs)
        addOffer("y/0", 7, nowS = 1)
        assertEquals(2 * SECOND, round.endsAtUs)
        addOffer("z/0", 7, nowS = 2)
        assertEquals(3 * SECOND, round.endsAtUs)
        addOffer("z/0", 7, nowS = 3)
        assertEquals(3 * SECOND, round.endsAtUs, "a second offer of the same partition does not extend the round")
    }

    @Example
    fun `an offer for a request of another round is ignored`() {
        addOffer("y/0", 6, nowS = 1)
        assertTrue(round.offersFor(6).isEmpty() && round.offersFor(7).isEmpty())
        assertFalse(round.hasOfferFromAll(setOf("y/0")))
    }

    @Example
    fun `a round has offers from all partitions when each of them has made an offer`() {
        addOffer("y/0", 7, nowS = 1)
        assertFalse(round.hasOfferFromAll(setOf("y/0", "z/0")))
        addOffer("z/0", 7, nowS = 1)
        assertTrue(round.hasOfferFromAll(setOf("y/0", "z/0")))
        assertEquals(mapOf("y/0" to held, "z/0" to held), round.offersFor(7))
    }
}
