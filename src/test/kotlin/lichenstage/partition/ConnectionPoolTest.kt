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
    private var maxConnections = 3
    private val pool = ConnectionPool<String, Int>({ maxConnections }) { closed += it }

    @Example
    fun `a connection is kept for its address, and the one that was used longest ago gives way`() {
        assertNull(pool.acquire("a")) { "from nowhere" }
        pool.release("a", 1, 10)
        pool.acquire("b")
        pool.release("b", 2, 20)
        assertTrue(pool.acquire("a") == 1 && closed.isEmpty()) { "not kept" }
        pool.release("a", 1, 30)
        pool.acquire("c")
        pool.acquire("d")
        assertEquals(listOf(2), closed) { "closed $closed" }
        assertEquals(1, pool.available) { "free ${pool.available}" }
    }

    @Example
    fun `what is idle for long, lost or there twice is not kept`() {
        pool.acquire("a")
        pool.acquire("a")
        pool.release("a", 1, 10)
        pool.release("a", 2, 11)
        assertEquals(listOf(1), closed) { "twice" }
        pool.onClosedByPeer("a", 1)
        assertEquals(1, pool.open) { "the other one was lost" }
        pool.closeIdleSince(11)
        assertEquals(1, pool.open) { "swept too early" }
        pool.closeIdleSince(12)
        assertTrue(pool.open == 0 && closed == listOf(1, 2)) { "not swept" }
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
                if (pool.available > 0) inUse += address to (pool.acquire(address) ?: ++connections)
            } else if (inUse.isNotEmpty()) {
                val (at, connection) = inUse.removeAt(step % inUse.size)
                pool.release(at, connection.takeIf { step % 3 > 0 }, now.toLong())
            }
            assertTrue(pool.open <= maxConnections && pool.inUse == inUse.size) { "${pool.open} of $maxConnections open" }
        }
        inUse.forEach { (at, _) -> pool.release(at, null, 0) }
        pool.closeIdleSince(Long.MAX_VALUE)
    }
}
