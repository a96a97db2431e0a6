package lichenstage.cluster

import lichenstage.common.EventLoopLag
import lichenstage.common.MILLI
import lichenstage.common.SECOND
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue

/** Guards against partitions released to a controller whose event loop lags, and against a lagging receiver that blames the sender. */
class PingPunctualityTest {
    private val pings = PingPunctuality(8 * SECOND, 700 * MILLI)

    @Example
    fun `pings at the expected rate are punctual once a full window has passed`() {
        var nowUs = 0L
        repeat(5) { pings.onPingReceived(nowUs.also { nowUs += 720 * MILLI }) }
        assertFalse(pings.isPunctual(nowUs), "too few pings so far")
        repeat(10) { pings.onPingReceived(nowUs.also { nowUs += 720 * MILLI }) }
        assertTrue(pings.isPunctual(nowUs), "a full window of pings")
        assertFalse(pings.isPunctual(nowUs + 5 * SECOND), "no pings for 5 s")
    }

    @Example
    fun `a sender that sends half of its pings is not punctual`() {
        for (i in 0L..20) pings.onPingReceived(i * 1500 * MILLI)
        assertFalse(pings.isPunctual(20 * 1500 * MILLI), "half of the pings")
    }

    @Example
    fun `a sender is punctual if a stalled receiver handles its pings in batches`() {
        // The receiver handles all pings, but only every two seconds.
        for (i in 0L..20) pings.onPingReceived((i * 700 * MILLI / (2 * SECOND) + 1) * 2 * SECOND)
        assertTrue(pings.isPunctual(16 * SECOND), "all pings were handled")
    }

    @Example
    fun `the measured event loop lag rises at once and decays slowly`() {
        val lag = EventLoopLag()
        lag.onTimerFired(dueUs = 0, nowUs = 3 * SECOND)
        assertEquals(3 * SECOND, lag.currentUs, "${lag.currentUs}")
        repeat(10) { lag.onTimerFired(it * SECOND, it * SECOND) }
        assertTrue(lag.currentUs in SECOND / 2..3 * SECOND / 2, "${lag.currentUs}")
        repeat(100) { lag.onTimerFired(it * SECOND, it * SECOND) }
        assertTrue(lag.currentUs < 10 * MILLI, "${lag.currentUs}")
    }
}
