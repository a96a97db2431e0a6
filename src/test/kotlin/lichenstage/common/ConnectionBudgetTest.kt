package lichenstage.common

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import org.junit.jupiter.api.Assertions.assertTrue

class ConnectionBudgetTest {
    /**
     * Guards against running out of sockets when many workers connect at once: the state service, the cloud, the peers and users could no
     * longer connect. Worker connections over the budget are closed with the reply.
     */
    @Property(tries = 200, seed = "20261202")
    fun `the reserved sockets and some for users stay free, however many workers connect`(
        @ForAll @IntRange(min = 300, max = 40_000) maxSockets: Int,
        @ForAll @IntRange(min = 1, max = 6000) workers: Int,
    ) {
        val budget = ConnectionBudget(maxSockets, RESERVED_SOCKETS)
        repeat(workers) {
            budget.onConnectionOpened()
            if (budget.isExhausted()) budget.onConnectionClosed()
            val usedSockets = RESERVED_SOCKETS + budget.servedConnections + budget.maxOrderConnections()
            assertTrue(usedSockets <= maxSockets - (maxSockets - RESERVED_SOCKETS) / 16) {
                "$usedSockets of $maxSockets with ${budget.servedConnections} served"
            }
            assertTrue(budget.maxOrderConnections() > 0) { "no connection is left for direct orders" }
        }
        val expectedConnections = (maxSockets - RESERVED_SOCKETS) * 3 / 4
        assertTrue(
            budget.servedConnections >= minOf(workers, expectedConnections),
        ) { "${budget.servedConnections} served of $workers with $maxSockets sockets" }
    }

    private companion object {
        const val RESERVED_SOCKETS = 80
    }
}
