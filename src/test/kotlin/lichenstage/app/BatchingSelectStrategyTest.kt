package lichenstage.app

import io.netty.channel.SelectStrategy
import lichenstage.common.MILLI
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertTrue

/** Guards against an event loop that wakes up for each of many events, and against a pause that delays single events or tasks. */
class BatchingSelectStrategyTest {
    private var nowUs = 0L
    private var pausedUs = 0L
    private val strategy =
        BatchingSelectStrategy({ nowUs }, 20 * MILLI) {
            pausedUs += it
            nowUs += it
        }

    private fun calculateStrategy(hasTasks: Boolean = false) = strategy.calculateStrategy({ 3 }, hasTasks)

    @Example
    fun `the event loop pauses only while events arrive often and never while it has tasks`() {
        assertTrue(calculateStrategy() == SelectStrategy.SELECT && pausedUs == 0L) { "paused at the first select" }
        nowUs += 100 * MILLI
        assertTrue(calculateStrategy() == SelectStrategy.SELECT && pausedUs == 0L) { "paused for a single event" }
        nowUs += 5 * MILLI
        assertTrue(calculateStrategy() == SelectStrategy.SELECT && pausedUs == 20 * MILLI) { "did not pause while events arrive often" }
        nowUs += MILLI
        assertTrue(calculateStrategy(hasTasks = true) == 3 && pausedUs == 20 * MILLI) { "paused while tasks were waiting" }
    }
}
