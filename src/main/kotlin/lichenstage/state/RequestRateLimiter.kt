package lichenstage.state

import kotlinx.coroutines.delay
import lichenstage.common.Clock
import lichenstage.common.SECOND

/**
 * A token bucket that keeps a process within its share of a rate, [perSecond]. Urgent requests may overdraw the bucket and wait only
 * until it is balanced again; all others wait until the bucket holds enough beside them.
 */
class RequestRateLimiter(
    private val clock: Clock,
    private val perSecond: () -> Double,
) {
    private var tokens = 0.0
    private var refilledUs = Long.MIN_VALUE

    /** Takes [permits] from the bucket, after a wait where it does not hold as many. */
    suspend fun acquire(
        permits: Int = 1,
        urgent: Boolean = true,
    ) {
        while (true) {
            val waitMs = reserve(permits, urgent)
            if (waitMs > 0) delay(waitMs)
            if (urgent || waitMs == 0L) return
        }
    }

    /**
     * The time to wait, in milliseconds. For urgent requests the permits have been taken already; for others only where it is 0, else
     * they have to ask again.
     */
    fun reserve(
        permits: Int,
        urgent: Boolean,
    ): Long {
        val rate = perSecond()
        val now = clock.now()
        // Half a second's worth may be saved up: bursts are allowed one second's worth over all processes.
        val capacity = maxOf(rate / 2, 1.0)
        tokens = if (refilledUs == Long.MIN_VALUE) capacity else minOf(capacity, tokens + (now - refilledUs) * rate / SECOND)
        refilledUs = now
        val missing = if (urgent) permits - tokens else minOf(permits.toDouble(), capacity) - tokens
        if (urgent || missing <= 0) tokens -= permits
        return if (missing <= 0) 0 else (missing / rate * MILLIS_PER_SECOND).toLong() + 1
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000
    }
}
