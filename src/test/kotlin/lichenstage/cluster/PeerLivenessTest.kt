package lichenstage.cluster

import lichenstage.common.SECOND
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue

/** Guards against frames, requests and partitions that go to a controller which cannot handle them at that time. */
class PeerLivenessTest {
    private val liveness = PeerLiveness()

    private fun ping(
        nowUs: Long,
        isStateServiceAvailable: Boolean = true,
    ) {
        liveness.onFrameReceived(PEER, nowUs)
        liveness.onPingReceived(PEER, Ping(isStateServiceAvailable), nowUs)
    }

    private fun pingUntil(
        fromUs: Long,
        untilUs: Long,
    ) {
        for (nowUs in fromUs..untilUs step PeerLiveness.PING_INTERVAL_US) ping(nowUs)
    }

    @Example
    fun `a controller is reachable until its last frame is older than the silence timeout`() {
        assertFalse(liveness.isReachable(PEER, SECOND), "no frame received yet")
        liveness.onFrameReceived(PEER, SECOND)
        assertTrue(liveness.isReachable(PEER, 3 * SECOND))
        assertFalse(liveness.isReachable(PEER, SECOND + PeerLiveness.SILENCE_TIMEOUT_US))
    }

    @Example
    fun `a controller is healthy only while its pings report an available state service`() {
        liveness.onFrameReceived(PEER, SECOND)
        assertFalse(liveness.isHealthy(PEER, SECOND), "no ping received yet")
        ping(2 * SECOND)
        assertTrue(liveness.isHealthy(PEER, 2 * SECOND))
        ping(3 * SECOND, isStateServiceAvailable = false)
        assertFalse(liveness.isHealthy(PEER, 3 * SECOND))
    }

    @Example
    fun `a controller is stable once it has been healthy for the whole stability period`() {
        pingUntil(SECOND, 8 * SECOND)
        assertFalse(liveness.isStable(PEER, 8 * SECOND), "healthy for 7 s")
        pingUntil(8 * SECOND, 10 * SECOND)
        assertTrue(liveness.isStable(PEER, 10 * SECOND), "healthy for 9 s")
        pingUntil(13 * SECOND, 16 * SECOND)
        assertFalse(liveness.isStable(PEER, 16 * SECOND), "healthy for 3 s after a silence of 3 s")
    }

    private companion object {
        const val PEER = "n1"
    }
}
