package lichenstage.common

/**
 * How late the event loop has run its timers lately: by this much an answer of this process is late too. The worst of the last moments
 * counts and fades.
 */
class EventLoopLag {
    /** The present lag; 0 where timers run in time. */
    var us = 0L
        private set

    /** A timer that was due at [dueUs] ran at [now]; called several times a second. */
    fun ran(
        dueUs: Long,
        now: Long,
    ) {
        us = maxOf(now - dueUs, us - us / FADING)
    }

    private companion object {
        /** Each call takes one part in so many off what was before. */
        const val FADING = 10
    }
}
