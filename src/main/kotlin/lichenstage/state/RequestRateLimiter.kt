package lichenstage.state

import kotlinx.coroutines.delay
import lichenstage.common.Clock
import lichenstage.common.SECOND

/**
 * A token bucket that keeps a process within its share of a rate, [permitsPerSecond]. Urgent requests may overdraw the bucket and wait only
 * until it is balanced again; all others wait until the bucket holds enough beside them.
 */
class RequestRateLimiter(
    private val clock: Clock,
    private val permitsPerSecond: () -> Double,
) {
    private var tokens = 0.0
    private var refilledAtUs = Long.MIN_VALUE

    /** Takes [permits] from the bucket, after a wait where it does not hold as many. */
    suspend fun acquire(
        permits: Int = 1,
        isUrgent: Boolean = true,
    ) {
        while (true) {
            val waitMs = reserve(permits, isUrgent)
            if (waitMs > 0) delay(waitMs)
            if (isUrgent || waitMs == 0L) return
        }
    }

    /**
     * The time to wait, in milliseconds. For urgent requests the permits have been taken already; for others only where it is 0, else
     * they have to ask again.
     */
    fun reserve(
        permits: Int,
        isUrgent: Boolean,
    ): Long {
        val rate = permitsPerSecond()
        val nowUs = clock.now()
        // Half a second's worth may be saved up: bursts are allowed one second's worth over all processes.
        val capacity = maxOf(rate / 2, 1.0)
        tokens = if (refilledAtUs == Long.MIN_VALUE) capacity else minOf(capacity, tokens + (nowUs - refilledAtUs) * rate / SECOND)
        refilledAtUs = nowUs
        val missingTokens = if (isUrgent) permits - tokens else minOf(permits.toDouble(), capacity) - tokens
        if (isUrgent || missingTokens <= 0) tokens -= permits
        return if (missingTokens <= 0) 0 else (missingTokens / rate * MILLIS_PER_SECOND).toLong() + 1
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000
    }
}
