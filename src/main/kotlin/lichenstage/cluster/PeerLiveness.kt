package lichenstage.cluster

import lichenstage.common.MILLI
import lichenstage.common.SECOND

/** The liveness of the other controllers (reachable, healthy, stable), derived from the frames and pings that they send. */
internal class PeerLiveness {
    private val lastFrameAtUsByPeer = HashMap<String, Long>()
    private val healthySinceUsByPeer = HashMap<String, Long>()
    private val stateServiceAvailableByPeer = HashMap<String, Boolean>()
    private val punctualityByPeer = HashMap<String, PingPunctuality>()

    /** Handles a frame received directly from the controller [from], that is, not relayed. */
    fun onFrameReceived(
        from: String,
        nowUs: Long,
    ) {
        // After a silence the controller may run as a new process, so its healthy time starts again.
        if (!isReachable(from, nowUs)) healthySinceUsByPeer.remove(from)
        lastFrameAtUsByPeer[from] = nowUs
    }

    /** Handles the content of a ping, after [onFrameReceived] for the same frame. */
    fun onPingReceived(
        from: String,
        ping: Ping,
        nowUs: Long,
    ) {
        stateServiceAvailableByPeer[from] = ping.isStateServiceAvailable
        punctualityByPeer.getOrPut(from) { PingPunctuality(STABLE_AFTER_US, PING_INTERVAL_US) }.onPingReceived(nowUs)
        if (ping.isStateServiceAvailable) healthySinceUsByPeer.putIfAbsent(from, nowUs) else healthySinceUsByPeer.remove(from)
    }

    /** Returns whether frames of the controller [label] arrive directly, the last one less than [SILENCE_TIMEOUT_US] ago. */
    fun isReachable(
        label: String,
        nowUs: Long,
    ) = nowUs - (lastFrameAtUsByPeer[label] ?: NEVER_US) < SILENCE_TIMEOUT_US

    /** Returns whether the controller [label] is reachable and receives replies from the state service. */
    fun isHealthy(
        label: String,
        nowUs: Long,
    ) = isReachable(label, nowUs) && stateServiceAvailableByPeer[label] == true

    /** Returns whether the controller [label] has been healthy for [STABLE_AFTER_US] and its pings were on time. */
    fun isStable(
        label: String,
        nowUs: Long,
    ): Boolean =
        isHealthy(label, nowUs) && nowUs - (healthySinceUsByPeer[label] ?: nowUs) > STABLE_AFTER_US &&
            punctualityByPeer[label]?.isPunctual(nowUs) == true

    companion object {
        const val PING_INTERVAL_US = 700 * MILLI
        const val STABLE_AFTER_US = 8 * SECOND
        const val SILENCE_TIMEOUT_US = 2200 * MILLI
        private const val NEVER_US = Long.MIN_VALUE / 2
    }
}
