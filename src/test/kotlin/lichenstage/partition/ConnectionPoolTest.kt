package lichenstage.partition

import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue

/** Guards against more open connections to workers than the limit allows, and against idle connections that are never closed. */
class ConnectionPoolTest {
    private val closedConnections = ArrayList<Int>()
    private var maxConnections = 3
    private val pool = ConnectionPool<String, Int>({ maxConnections }) { closedConnections += it }

    @Example
    fun `an idle connection is reused for its address, and at the limit the least recently used one is closed`() {
        assertNull(pool.acquire("a")) { "a new pool returned a connection" }
        pool.release("a", 1, 10)
        pool.acquire("b")
        pool.release("b", 2, 20)
        assertTrue(pool.acquire("a") == 1 && closedConnections.isEmpty()) { "the idle connection was not reused" }
        pool.release("a", 1, 30)
        pool.acquire("c")
        pool.acquire("d")
        assertEquals(listOf(2), closedConnections) { "closed $closedConnections" }
        assertEquals(1, pool.availableCount) { "available connections: ${pool.availableCount}" }
    }

    @Example
    fun `idle connections that are duplicate, closed by the peer or idle too long are dropped`() {
        pool.acquire("a")
        pool.acquire("a")
        pool.release("a", 1, 10)
        pool.release("a", 2, 11)
        assertEquals(listOf(1), closedConnections) { "the duplicate connection was not closed" }
        pool.onClosedByPeer("a", 1)
        assertEquals(1, pool.openCount) { "the connection that is still open was removed" }
        pool.closeIdleBefore(11)
        assertEquals(1, pool.openCount) { "closed too early" }
        pool.closeIdleBefore(12)
        assertTrue(pool.openCount == 0 && closedConnections == listOf(1, 2)) { "not closed although idle too long" }
    }

    /** Takes a connection only if one is available, as the controller does. */
    @Property(tries = 300, seed = "20261203")
    fun `the number of open connections never exceeds the limit`(
        @ForAll steps: List<
            @IntRange(min = 0, max = 400)
            Int,
        >,
    ) {
        closedConnections.clear()
        val inUse = ArrayList<Pair<String, Int>>()
        var lastConnection = 0
        steps.forEachIndexed { nowUs, step ->
            val address = "m${step % 20}"
            if (step < 250) {
                if (pool.availableCount > 0) inUse += address to (pool.acquire(address) ?: ++lastConnection)
            } else if (inUse.isNotEmpty()) {
                val (usedAddress, connection) = inUse.removeAt(step % inUse.size)
                pool.release(usedAddress, connection.takeIf { step % 3 > 0 }, nowUs.toLong())
            }
            assertTrue(pool.openCount <= maxConnections && pool.inUseCount == inUse.size) { "${pool.openCount} of $maxConnections open" }
        }
        inUse.forEach { (usedAddress, _) -> pool.release(usedAddress, null, 0) }
        pool.closeIdleBefore(Long.MAX_VALUE)
    }
}
