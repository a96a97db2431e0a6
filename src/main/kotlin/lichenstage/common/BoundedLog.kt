package lichenstage.common

import org.slf4j.LoggerFactory

/** Writes at most [mostLines] lines in [periodUs]; how many were left out is told with the first line after that. */
class BoundedLog(
    private val clock: Clock,
    private val mostLines: Int = MOST_LINES,
    private val periodUs: Long = PERIOD_US,
    private val write: (String) -> Unit,
) {
    private var sinceUs = Long.MIN_VALUE / 2
    private var lines = 0
    private var leftOut = 0

    /** Writes the line, or counts it as left out. */
    fun info(line: () -> String) {
        val now = clock.now()
        if (now - sinceUs > periodUs) begin(now)
        if (lines >= mostLines) {
            leftOut++
        } else {
            lines++
            write(line())
        }
    }

    private fun begin(now: Long) {
        if (leftOut > 0) write("$leftOut lines were left out")
        sinceUs = now
        lines = 0
        leftOut = 0
    }

    companion object {
        private const val MOST_LINES = 60
        private const val PERIOD_US = 10 * SECOND

        /** The lines go to a logger at INFO. */
        fun of(
            name: String,
            clock: Clock,
        ): BoundedLog {
            val log = LoggerFactory.getLogger(name)
            // Nothing is put together where nobody reads it.
            return BoundedLog(clock, mostLines = if (log.isInfoEnabled) MOST_LINES else 0) { log.info(it) }
        }
    }
}
