package lichenstage.common

import org.slf4j.LoggerFactory

/** Writes at most [maxLines] lines in each period of [periodUs]; the next period begins with the number of lines that were dropped. */
class RateLimitedLog(
    private val clock: Clock,
    private val maxLines: Int = MAX_LINES,
    private val periodUs: Long = PERIOD_US,
    private val write: (String) -> Unit,
) {
    private var sinceUs = Long.MIN_VALUE / 2
    private var lines = 0
    private var dropped = 0

    /** Writes the line, or counts it as dropped. */
    fun info(line: () -> String) {
        val now = clock.now()
        if (now - sinceUs > periodUs) begin(now)
        if (lines >= maxLines) {
            dropped++
        } else {
            lines++
            write(line())
        }
    }

    private fun begin(now: Long) {
        if (dropped > 0) write("$dropped lines were left out")
        sinceUs = now
        lines = 0
        dropped = 0
    }

    companion object {
        private const val MAX_LINES = 60
        private const val PERIOD_US = 10 * SECOND

        /** A log whose lines go to the logger [name] at INFO. */
        fun of(
            name: String,
            clock: Clock,
        ): RateLimitedLog {
            val log = LoggerFactory.getLogger(name)
            // No line is formatted if the level is off.
            return RateLimitedLog(clock, maxLines = if (log.isInfoEnabled) MAX_LINES else 0) { log.info(it) }
        }
    }
}
