package lichenstage.state

import kotlinx.coroutines.delay
import lichenstage.common.Clock
import lichenstage.common.SECOND

/**
 * A token bucket that keeps a process within its share of a rate, [permitsPerSecond]. An urgent request can overdraw the bucket and waits
 * only as long as it takes to pay back the overdraft. Other requests wait until the bucket has enough permits for them.
 */
class RequestRateLimiter(
    private val clock: Clock,
    private val permitsPerSecond: () -> Double,
) {
    private var availablePermits = 0.0
    private var refilledAtUs = Long.MIN_VALUE

    /** Takes [permits] from the bucket and waits if the bucket has fewer. */
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
     * Returns the time to wait, in milliseconds. For an urgent request the permits are taken at once. For others they are taken only if
     * the time is 0; otherwise the caller has to call again after the wait.
     */
    fun reserve(
        permits: Int,
        isUrgent: Boolean,
    ): Long {
        val rate = permitsPerSecond()
        val nowUs = clock.now()
        // The bucket holds half a second of permits. The service allows bursts of one second of permits over all processes.
        val capacity = maxOf(rate / 2, 1.0)
        availablePermits =
            if (refilledAtUs == Long.MIN_VALUE) capacity else minOf(capacity, availablePermits + (nowUs - refilledAtUs) * rate / SECOND)
        refilledAtUs = nowUs
        val missingPermits = if (isUrgent) permits - availablePermits else minOf(permits.toDouble(), capacity) - availablePermits
        if (isUrgent || missingPermits <= 0) availablePermits -= permits
        return if (missingPermits <= 0) 0 else (missingPermits / rate * MILLIS_PER_SECOND).toLong() + 1
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000
    }
}
