package lichenstage.state

import lichenstage.common.Clock
import lichenstage.common.SECOND
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

/** Guards against request rates above the share of a process, and against urgent requests that wait for bulk work. */
class RequestRateLimiterTest {
    private var nowUs = 0L

    @Example
    fun `bulk work waits for urgent work, and both together keep to the rate`() {
        val limiter = RequestRateLimiter(Clock { nowUs }) { 10.0 }
        assertEquals(0L, limiter.reserve(5, isUrgent = false)) { "the bucket starts with half a second of permits" }
        assertTrue(limiter.reserve(1, isUrgent = false) > 0) { "granted from an empty bucket" }
        assertTrue(limiter.reserve(2, isUrgent = true) in 200L..210L) { "urgent work waits only for its own overdraft" }
        nowUs += SECOND / 10
        assertTrue(limiter.reserve(1, isUrgent = false) in 200L..210L) { "bulk work does not wait for the overdraft" }
        var taken = 0
        repeat(100) {
            nowUs += SECOND / 10
            if (limiter.reserve(1, isUrgent = false) == 0L) taken++
        }
        assertTrue(taken in 95..105) { "$taken permits in 10 s at 10 per second" }
    }

    @Example
    fun `a request for more permits than the bucket can hold is granted from a full bucket`() {
        val limiter = RequestRateLimiter(Clock { nowUs }) { 10.0 }
        assertEquals(0L, limiter.reserve(48, isUrgent = false)) { "not granted" }
        assertTrue(limiter.reserve(1, isUrgent = false) > 4000) { "the overdraft is not paid back" }
    }
}
