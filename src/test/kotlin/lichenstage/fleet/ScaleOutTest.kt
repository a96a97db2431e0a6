package lichenstage.fleet

import lichenstage.cloud.ProvisionRequest
import lichenstage.cloud.ProvisionResult
import lichenstage.common.SECOND
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue

/** Guards against replacements that are provisioned twice, and against requests to a pool that has just refused one. */
class ScaleOutTest {
    private val replacementRequests = ReplacementRequests()
    private val scaleOut = ScaleOut(3, CapacityEstimator(FleetPolicy(), DemandForecast(0)), replacementRequests)

    @Example
    fun `a replacement is requested until a machine has been provisioned for it`() {
        replacementRequests.add(ReplacementRequest("drain m1", "t", "z", isSpot = true))
        val first = scaleOut.createReplacementRequest(0)!!
        assertEquals(ProvisionRequest("h3-1", "t", "z", isSpot = true, count = 1), first)
        assertEquals("drain m1", replacementRequests.idOf(first))
        scaleOut.onProvisionReply(first, ProvisionResult.NoCapacity, 0)
        assertNull(scaleOut.createReplacementRequest(SECOND), "sent a request to a pool that had just refused one")
        val second = scaleOut.createReplacementRequest(5 * SECOND)!!
        assertEquals("h3-2", second.name, "the name of the first request was reused")
        assertEquals(listOf("vm-1"), scaleOut.onProvisionReply(second, ProvisionResult.Provisioned(listOf("vm-1")), 6 * SECOND))
        assertNull(scaleOut.createReplacementRequest(60 * SECOND), "requested a second machine for the same replacement")
    }

    @Example
    fun `a request stays pending until its outcome is known`() {
        replacementRequests.add(ReplacementRequest("drain m1", "t", "z", isSpot = false))
        val request = scaleOut.createReplacementRequest(0)!!
        scaleOut.onProvisionReply(request, ProvisionResult.Indeterminate, SECOND)
        assertEquals(request, scaleOut.pendingRequest)
        scaleOut.onProvisionReply(request, ProvisionResult.NoCapacity, 2 * SECOND)
        assertNull(scaleOut.pendingRequest)
    }

    @Example
    fun `a pool without capacity is blocked for 5, 10 and then 20 s, and other pools are not blocked`() {
        val backoff = ProvisionBackoff()
        val pool = CapacityPool("t", "z", isSpot = true)
        for (delayUs in listOf(5 * SECOND, 10 * SECOND, 20 * SECOND, 20 * SECOND)) {
            backoff.onRefusal(pool, 0)
            assertFalse(backoff.allows(pool, delayUs - 1))
            assertTrue(backoff.allows(pool, delayUs))
        }
        assertTrue(backoff.allows(pool.copy(isSpot = false), 0))
        backoff.onSuccess(pool)
        backoff.onRefusal(pool, 0)
        assertTrue(backoff.allows(pool, 5 * SECOND), "refusals before a success still count")
    }
}
