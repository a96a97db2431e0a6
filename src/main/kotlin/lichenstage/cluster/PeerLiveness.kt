package lichenstage.cluster

import lichenstage.common.MILLI
import lichenstage.common.SECOND

/** Which of the other controllers are reachable, healthy and stable, by the frames and pings that come from them. */
internal class PeerLiveness {
    private val lastFrameAtUs = HashMap<String, Long>()
    private val healthySinceUs = HashMap<String, Long>()
    private val isStateServiceAvailable = HashMap<String, Boolean>()
    private val punctualityByPeer = HashMap<String, PingPunctuality>()

    /** A frame has come from a controller directly. */
    fun onFrameReceived(
        from: String,
        nowUs: Long,
    ) {
        // After a silence the count starts anew: the process may be another.
        if (!isReachable(from, nowUs)) healthySinceUs.remove(from)
        lastFrameAtUs[from] = nowUs
    }

    /** The frame was a ping. */
    fun onPingReceived(
        from: String,
        ping: Ping,
        nowUs: Long,
    ) {
        isStateServiceAvailable[from] = ping.isStateServiceAvailable
        punctualityByPeer.getOrPut(from) { PingPunctuality(STABLE_AFTER_US, PING_INTERVAL_US) }.onPingReceived(nowUs)
        if (ping.isStateServiceAvailable) healthySinceUs.putIfAbsent(from, nowUs) else healthySinceUs.remove(from)
    }

    /** Frames of that controller come directly. */
    fun isReachable(
        label: String,
        nowUs: Long,
    ) = nowUs - (lastFrameAtUs[label] ?: NEVER_US) < SILENCE_TIMEOUT_US

    /** That controller is reachable, and the state service answers it. */
    fun isHealthy(
        label: String,
        nowUs: Long,
    ) = isReachable(label, nowUs) && isStateServiceAvailable[label] == true

    /** That controller has been healthy for a while, and its pings have come in time. */
    fun isStable(
        label: String,
        nowUs: Long,
    ): Boolean =
        isHealthy(label, nowUs) && nowUs - (healthySinceUs[label] ?: nowUs) > STABLE_AFTER_US &&
            punctualityByPeer[label]?.isPunctual(nowUs) == true

    companion object {
        const val PING_INTERVAL_US = 700 * MILLI
        const val STABLE_AFTER_US = 8 * SECOND
        const val SILENCE_TIMEOUT_US = 2200 * MILLI
        private const val NEVER_US = Long.MIN_VALUE / 2
    }
}
