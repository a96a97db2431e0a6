package lichenstage.app

import io.netty.channel.SelectStrategy
import lichenstage.common.MILLI
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertTrue

class EventBatchingTest {
    private var now = 0L
    private var paused = 0L
    private val batching =
        EventBatching({ now }, 20 * MILLI) {
            paused += it
            now += it
        }

    private fun next(hasTasks: Boolean = false) = batching.next({ 3 }, hasTasks)

    @Example
    fun `the loop pauses only while it is woken often, and never with work of its own`() {
        assertTrue(next() == SelectStrategy.SELECT && paused == 0L) { "paused at the first wait" }
        now += 100 * MILLI
        assertTrue(next() == SelectStrategy.SELECT && paused == 0L) { "paused for what came alone" }
        now += 5 * MILLI
        assertTrue(next() == SelectStrategy.SELECT && paused == 20 * MILLI) { "did not pause while much comes" }
        now += MILLI
        assertTrue(next(hasTasks = true) == 3 && paused == 20 * MILLI) { "paused with tasks waiting" }
    }
}
