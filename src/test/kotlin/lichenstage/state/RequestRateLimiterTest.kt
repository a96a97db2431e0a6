package lichenstage.state

import lichenstage.common.Clock
import lichenstage.common.SECOND
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

class RequestRateLimiterTest {
    private var nowUs = 0L

    @Example
    fun `bulk work waits for what is urgent, and all together keep to the rate`() {
        val limiter = RequestRateLimiter(Clock { nowUs }) { 10.0 }
        assertEquals(0L, limiter.reserve(5, isUrgent = false)) { "half a second's worth is saved up" }
        assertTrue(limiter.reserve(1, isUrgent = false) > 0) { "taken from nothing" }
        assertTrue(limiter.reserve(2, isUrgent = true) in 200L..210L) { "urgent work runs into debt and waits for that alone" }
        nowUs += SECOND / 10
        assertTrue(limiter.reserve(1, isUrgent = false) in 200L..210L) { "bulk work before the debt is paid" }
        var taken = 0
        repeat(100) {
            nowUs += SECOND / 10
            if (limiter.reserve(1, isUrgent = false) == 0L) taken++
        }
        assertTrue(taken in 95..105) { "$taken in 10 s at 10 a second" }
    }

    @Example
    fun `what is larger than can be saved up is not held back for ever`() {
        val limiter = RequestRateLimiter(Clock { nowUs }) { 10.0 }
        assertEquals(0L, limiter.reserve(48, isUrgent = false)) { "held back" }
        assertTrue(limiter.reserve(1, isUrgent = false) > 4000) { "the debt is not paid" }
    }
}
