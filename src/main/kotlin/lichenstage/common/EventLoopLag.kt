package lichenstage.common

/**
 * How late the event loop has recently run its timers, and so how late this process answers: the maximum of recent delays, which decays
 * exponentially.
 */
class EventLoopLag {
    /** The current lag in microseconds; 0 if timers run on time. */
    var currentUs = 0L
        private set

    /** Records that a timer that was due at [dueUs] ran at [now]. To be called several times a second. */
    fun onTimerFired(
        dueUs: Long,
        now: Long,
    ) {
        currentUs = maxOf(now - dueUs, currentUs - currentUs / DECAY_DIVISOR)
    }

    private companion object {
        /** Each call reduces the previous maximum by one part in so many. */
        const val DECAY_DIVISOR = 10
    }
}
