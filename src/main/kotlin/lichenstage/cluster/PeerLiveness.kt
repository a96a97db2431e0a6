package lichenstage.cluster

import lichenstage.common.MILLI
import lichenstage.common.SECOND

/** Which of the other controllers are reachable, healthy and stable, by the frames and pings that come from them. */
internal class PeerLiveness {
    private val lastFrameUs = HashMap<String, Long>()
    private val healthySinceUs = HashMap<String, Long>()
    private val stateServiceAvailable = HashMap<String, Boolean>()
    private val punctuality = HashMap<String, PingPunctuality>()

    /** A frame has come from a controller directly. */
    fun frameReceived(
        from: String,
        now: Long,
    ) {
        // After a silence the count starts anew: the process may be another.
        if (!isReachable(from, now)) healthySinceUs.remove(from)
        lastFrameUs[from] = now
    }

    /** The frame was a ping. */
    fun pingReceived(
        from: String,
        ping: Ping,
        now: Long,
    ) {
        stateServiceAvailable[from] = ping.stateServiceAvailable
        punctuality.getOrPut(from) { PingPunctuality(STABLE_AFTER_US, PING_INTERVAL_US) }.pingReceived(now)
        if (ping.stateServiceAvailable) healthySinceUs.putIfAbsent(from, now) else healthySinceUs.remove(from)
    }

    /** Frames of that controller come directly. */
    fun isReachable(
        label: String,
        now: Long,
    ) = now - (lastFrameUs[label] ?: NEVER_US) < SILENCE_TIMEOUT_US

    /** That controller is reachable, and the state service answers it. */
    fun isHealthy(
        label: String,
        now: Long,
    ) = isReachable(label, now) && stateServiceAvailable[label] == true

    /** That controller has been healthy for a while, and its pings have come in time. */
    fun isStable(
        label: String,
        now: Long,
    ): Boolean =
        isHealthy(label, now) && now - (healthySinceUs[label] ?: now) > STABLE_AFTER_US && punctuality[label]?.isPunctual(now) == true

    companion object {
        const val PING_INTERVAL_US = 700 * MILLI
        const val STABLE_AFTER_US = 8 * SECOND
        const val SILENCE_TIMEOUT_US = 2200 * MILLI
        private const val NEVER_US = Long.MIN_VALUE / 2
    }
}
