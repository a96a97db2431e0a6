package lichenstage.common

import org.slf4j.LoggerFactory

/** Writes at most [maxLines] lines in each period of [periodUs]; the next period begins with the number of lines that were dropped. */
class RateLimitedLog(
    private val clock: Clock,
    private val maxLines: Int = MAX_LINES,
    private val periodUs: Long = PERIOD_US,
    private val write: (String) -> Unit,
) {
    private var periodStartedAtUs = Long.MIN_VALUE / 2
    private var writtenLines = 0
    private var droppedLines = 0

    /** Writes the line, or counts it as dropped. */
    fun info(line: () -> String) {
        val now = clock.now()
        if (now - periodStartedAtUs > periodUs) startPeriod(now)
        if (writtenLines >= maxLines) {
            droppedLines++
        } else {
            writtenLines++
            write(line())
        }
    }

    private fun startPeriod(now: Long) {
        if (droppedLines > 0) write("$droppedLines lines were left out")
        periodStartedAtUs = now
        writtenLines = 0
        droppedLines = 0
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
