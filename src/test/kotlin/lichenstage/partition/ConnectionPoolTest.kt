package lichenstage.partition

import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue

class ConnectionPoolTest {
    private val closed = ArrayList<Int>()
    private var most = 3
    private val lines = ConnectionPool<String, Int>({ most }) { closed += it }

    @Example
    fun `a connection is kept for its address, and the one that was used longest ago gives way`() {
        assertNull(lines.take("a")) { "from nowhere" }
        lines.give("a", 1, 10)
        lines.take("b")
        lines.give("b", 2, 20)
        assertTrue(lines.take("a") == 1 && closed.isEmpty()) { "not kept" }
        lines.give("a", 1, 30)
        lines.take("c")
        lines.take("d")
        assertEquals(listOf(2), closed) { "closed $closed" }
        assertEquals(1, lines.free) { "free ${lines.free}" }
    }

    @Example
    fun `what is idle for long, lost or there twice is not kept`() {
        lines.take("a")
        lines.take("a")
        lines.give("a", 1, 10)
        lines.give("a", 2, 11)
        assertEquals(listOf(1), closed) { "twice" }
        lines.lost("a", 1)
        assertEquals(1, lines.open) { "the other one was lost" }
        lines.sweep(11)
        assertEquals(1, lines.open) { "swept too early" }
        lines.sweep(12)
        assertTrue(lines.open == 0 && closed == listOf(1, 2)) { "not swept" }
    }

    /** As the controller uses it: no more in use than are free. Whatever comes, no more are open than there may be. */
    @Property(tries = 300, seed = "20261203")
    fun `never more are open than there may be`(
        @ForAll steps: List<
            @IntRange(min = 0, max = 400)
            Int,
        >,
    ) {
        closed.clear()
        val inUse = ArrayList<Pair<String, Int>>()
        var connections = 0
        steps.forEachIndexed { now, step ->
            val address = "m${step % 20}"
            if (step < 250) {
                if (lines.free > 0) inUse += address to (lines.take(address) ?: ++connections)
            } else if (inUse.isNotEmpty()) {
                val (at, connection) = inUse.removeAt(step % inUse.size)
                lines.give(at, connection.takeIf { step % 3 > 0 }, now.toLong())
            }
            assertTrue(lines.open <= most && lines.busy == inUse.size) { "${lines.open} of $most open" }
        }
        inUse.forEach { (at, _) -> lines.give(at, null, 0) }
        lines.sweep(Long.MAX_VALUE)
    }
}
