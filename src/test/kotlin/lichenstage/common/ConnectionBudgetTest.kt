package lichenstage.common

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import org.junit.jupiter.api.Assertions.assertTrue

class ConnectionBudgetTest {
    /** A fleet that connects as fast as it can: workers' connections above the budget are closed with their answers. */
    @Property(tries = 200, seed = "20261202")
    fun `however many come, the fixed part and some for users stay free`(
        @ForAll @IntRange(min = 300, max = 40_000) most: Int,
        @ForAll @IntRange(min = 1, max = 6000) workers: Int,
    ) {
        val sockets = ConnectionBudget(most, FIXED)
        repeat(workers) {
            sockets.opened()
            if (sockets.isExhausted()) sockets.closed()
            val taken = FIXED + sockets.servedConnections + sockets.maxOrderConnections()
            assertTrue(taken <= most - (most - FIXED) / 16) { "$taken of $most with ${sockets.servedConnections} served" }
            assertTrue(sockets.maxOrderConnections() > 0) { "no orders at all" }
        }
        val room = (most - FIXED) * 3 / 4
        assertTrue(
            sockets.servedConnections >= minOf(workers, room),
        ) { "${sockets.servedConnections} served of $workers with $most sockets" }
    }

    private companion object {
        const val FIXED = 80
    }
}
