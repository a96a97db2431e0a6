package lichenstage.app

import io.netty.channel.SelectStrategy
import lichenstage.common.MILLI
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertTrue

class EventBatchingTest {
    private var nowUs = 0L
    private var pausedUs = 0L
    private val batching =
        EventBatching({ nowUs }, 20 * MILLI) {
            pausedUs += it
            nowUs += it
        }

    private fun calculateStrategy(hasTasks: Boolean = false) = batching.calculateStrategy({ 3 }, hasTasks)

    @Example
    fun `the loop pauses only while it is woken often, and never with work of its own`() {
        assertTrue(calculateStrategy() == SelectStrategy.SELECT && pausedUs == 0L) { "paused at the first wait" }
        nowUs += 100 * MILLI
        assertTrue(calculateStrategy() == SelectStrategy.SELECT && pausedUs == 0L) { "paused for what came alone" }
        nowUs += 5 * MILLI
        assertTrue(calculateStrategy() == SelectStrategy.SELECT && pausedUs == 20 * MILLI) { "did not pause while much comes" }
        nowUs += MILLI
        assertTrue(calculateStrategy(hasTasks = true) == 3 && pausedUs == 20 * MILLI) { "paused with tasks waiting" }
    }
}
