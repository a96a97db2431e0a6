package lichenstage.app

/**
 * How late the event loop has run its timers lately: by this much an answer of this process is late too. The worst of the last moments
 * counts and fades.
 */
class LoopLag {
    private var worstUs = 0L

    /** The present lag; 0 where timers run in time. */
    val us get() = worstUs

    /** A timer that was due at [dueUs] ran at [now]; called several times a second. */
    fun ran(
        dueUs: Long,
        now: Long,
    ) {
        worstUs = maxOf(now - dueUs, worstUs - worstUs / FADING)
    }

    private companion object {
        /** Each call takes one part in so many off what was before. */
        const val FADING = 10
    }
}
