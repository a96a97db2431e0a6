package lichenstage.cluster

import lichenstage.common.EventLoopLag
import lichenstage.common.MILLI
import lichenstage.common.SECOND
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue

class PingPunctualityTest {
    private val pings = PingPunctuality(8 * SECOND, 700 * MILLI)

    @Example
    fun `pings at their pace are punctual, after the window`() {
        var nowUs = 0L
        repeat(5) { pings.onPingReceived(nowUs.also { nowUs += 720 * MILLI }) }
        assertFalse(pings.isPunctual(nowUs), "too few so far")
        repeat(10) { pings.onPingReceived(nowUs.also { nowUs += 720 * MILLI }) }
        assertTrue(pings.isPunctual(nowUs), "a window of them")
        assertFalse(pings.isPunctual(nowUs + 5 * SECOND), "silence")
    }

    @Example
    fun `a sender that stalls is not punctual`() {
        for (i in 0L..20) pings.onPingReceived(i * 1500 * MILLI)
        assertFalse(pings.isPunctual(20 * 1500 * MILLI), "half of them")
    }

    @Example
    fun `a receiver that stalls does not blame the sender`() {
        // Handled in bunches, but all of them.
        for (i in 0L..20) pings.onPingReceived((i * 700 * MILLI / (2 * SECOND) + 1) * 2 * SECOND)
        assertTrue(pings.isPunctual(16 * SECOND), "all have come")
    }

    @Example
    fun `the lag of an event loop rises at once and fades`() {
        val lag = EventLoopLag()
        lag.timerFired(dueUs = 0, now = 3 * SECOND)
        assertEquals(3 * SECOND, lag.currentUs, "${lag.currentUs}")
        repeat(10) { lag.timerFired(it * SECOND, it * SECOND) }
        assertTrue(lag.currentUs in SECOND / 2..3 * SECOND / 2, "${lag.currentUs}")
        repeat(100) { lag.timerFired(it * SECOND, it * SECOND) }
        assertTrue(lag.currentUs < 10 * MILLI, "${lag.currentUs}")
    }
}
