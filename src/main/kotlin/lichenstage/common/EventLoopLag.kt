package lichenstage.common

/**
 * The recent lag of the event loop: the maximum delay of its timers, which decays exponentially. The replies of this process are delayed by
 * about the same time.
 */
class EventLoopLag {
    /** The current lag in microseconds; 0 if all timers run on time. */
    var currentUs = 0L
        private set

    /**
     * Records that a timer with the due time [dueUs] ran at [nowUs]. Must be called several times a second, because each call decays the
     * lag.
     */
    fun onTimerFired(
        dueUs: Long,
        nowUs: Long,
    ) {
        currentUs = maxOf(nowUs - dueUs, currentUs - currentUs / DECAY_DIVISOR)
    }

    private companion object {
        /** Each call reduces the previous maximum by one tenth. */
        const val DECAY_DIVISOR = 10
    }
}
