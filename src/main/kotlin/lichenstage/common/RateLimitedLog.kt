package lichenstage.common

import org.slf4j.LoggerFactory

/** A log that writes at most [maxLines] lines in each period of [periodUs]. The next period starts with the number of dropped lines. */
class RateLimitedLog(
    private val clock: Clock,
    private val maxLines: Int = MAX_LINES,
    private val periodUs: Long = PERIOD_US,
    private val write: (String) -> Unit,
) {
    private var periodStartedAtUs = Long.MIN_VALUE / 2
    private var writtenLines = 0
    private var droppedLines = 0

    /** Writes the line, or counts it as dropped if the limit of the period is reached. */
    fun info(line: () -> String) {
        val nowUs = clock.now()
        if (nowUs - periodStartedAtUs > periodUs) startPeriod(nowUs)
        if (writtenLines >= maxLines) {
            droppedLines++
        } else {
            writtenLines++
            write(line())
        }
    }

    private fun startPeriod(nowUs: Long) {
        if (droppedLines > 0) write("Log lines dropped count=$droppedLines")
        periodStartedAtUs = nowUs
        writtenLines = 0
        droppedLines = 0
    }

    companion object {
        private const val MAX_LINES = 60
        private const val PERIOD_US = 10 * SECOND

        /** Returns a log that writes to the logger [name] at INFO. */
        fun of(
            name: String,
            clock: Clock,
        ): RateLimitedLog {
            val log = LoggerFactory.getLogger(name)
            // If INFO is off, the limit of 0 lines avoids the cost of formatting lines.
            return RateLimitedLog(clock, maxLines = if (log.isInfoEnabled) MAX_LINES else 0) { log.info(it) }
        }
    }
}
