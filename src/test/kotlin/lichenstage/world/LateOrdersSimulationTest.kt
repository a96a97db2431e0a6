package lichenstage.world

import lichenstage.common.MILLI
import lichenstage.common.SECOND
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

/**
 * Tests of direct orders that are executed up to ten minutes late, together with all other faults. `SeedSweepKt late-orders` runs the
 * same simulation with more seeds.
 */
class LateOrdersSimulationTest {
    @Example
    fun `orders that are executed minutes late violate no rule`() {
        var startFences = 0
        for (seed in SEEDS) {
            val cluster = SimulatedCluster(seed, profile = ClusterProfile.LATE_ORDERS).apply { run(FAULTS_US, CALM_US) }
            cluster.assertRulesHeld(seed)
            startFences += cluster.orderEvents.startFences
        }
        assertTrue(startFences > 0) { "no machine was given a newer fencing token because of an unwanted start" }
    }

    /** Simulates jobs that are cancelled one second after their submission, so that some of their starts are still held. */
    private fun simulateEarlyCancellations(
        seed: Long,
        mutation: Mutation = Mutation.NONE,
    ) = SimulatedCluster(seed, mutation, HELD_ORDERS).apply {
        script(0) { submitRandomJobs(14, 60 * SECOND) }
        for (n in 0 until 40) {
            script(10 * SECOND + n * SECOND) { submitLongRunning(100 + n, 100 * SECOND) }
            script(11 * SECOND + n * SECOND) { cancel("j-${100 + n}", n % 3) }
        }
        run(CANCELLED_US, CANCELLED_CALM_US)
    }

    @Example
    fun `held starts of cancelled jobs cause few newer fencing tokens and no lost tasks`() {
        var unansweredOrders = 0
        for (seed in CANCELLED_SEEDS) {
            val cluster = simulateEarlyCancellations(seed)
            cluster.assertRulesHeld(seed)
            val events = cluster.orderEvents
            unansweredOrders += events.unansweredOrders
            assertEquals(0, cluster.checker.tasksLost) { "seed $seed: ${cluster.checker.tasksLost} tasks lost, expected none; $events" }
            assertTrue(events.startFences + events.clearFences <= events.unansweredOrders + MAX_CLEAR_FENCES) { "seed $seed: $events" }
        }
        assertTrue(unansweredOrders > 100) { "$unansweredOrders orders without a reply, expected more than 100" }
    }

    @Example
    fun `without newer fencing tokens a start of a cancelled job is executed late`() =
        assertViolated(
            "ran_cancelled",
            Mutation.FENCING_DISABLED,
            CANCELLED_SEEDS,
        ) { seed -> simulateEarlyCancellations(seed, Mutation.FENCING_DISABLED) }

    /**
     * Simulates owners of partitions that have just started and have no reserved fencing tokens yet. Jobs are cancelled while their starts
     * are held, and then an outage of the state service lasts longer than the time limit of a cancellation.
     */
    private fun simulateOutageBeforeTokens(
        seed: Long,
        mutation: Mutation = Mutation.NONE,
    ) = SimulatedCluster(seed, mutation, HELD_ORDERS).apply {
        script(0) { submitRandomJobs(14, 60 * SECOND) }
        script(20 * SECOND) { repeat(3) { crash(it, 200 * MILLI) } }
        // Cancels many jobs, so that some cancellations fall between a held start and the machine's next heartbeat.
        for (n in 0 until 10) {
            script(23 * SECOND + n * SECOND / 4) { submitLongRunning(100 + n, 100 * SECOND) }
            script(24 * SECOND + n * SECOND / 4) { cancel("j-${100 + n}", n % 3) }
        }
        script(27 * SECOND) { beginOutage(80 * SECOND) }
        run(OUTAGE_FAULTS_US, OUTAGE_CALM_US)
    }

    @Example
    fun `if no newer fencing token is available, heartbeats get no reply and worker leases expire in time`() {
        var withheldReplies = 0
        for (seed in OUTAGE_SEEDS) {
            val cluster = simulateOutageBeforeTokens(seed)
            cluster.assertRulesHeld(seed)
            withheldReplies += cluster.orderEvents.withheldReplies
        }
        assertTrue(withheldReplies > 0) { "no reply to a heartbeat was withheld" }
    }

    @Example
    fun `if heartbeats get a reply although no newer fencing token is available, a start of a cancelled job is executed late`() =
        assertViolated("ran_cancelled", Mutation.REPLIED_WITHOUT_FENCING, OUTAGE_SEEDS) { seed ->
            simulateOutageBeforeTokens(seed, Mutation.REPLIED_WITHOUT_FENCING)
        }

    /**
     * Guards against copies of answered orders that start done tasks of cancelled jobs again. The three tasks of each job have very different
     * run times, so that the first is done, recorded and cleared when the job is cancelled.
     */
    @Example
    fun `late copies of answered orders start no done task of a cancelled job`() {
        for (seed in PARTLY_DONE_SEEDS) {
            val cluster = SimulatedCluster(seed, profile = LATE_COPIES)
            for (n in 0 until 30) {
                cluster.script(5 * SECOND + n * SECOND) { submitUnevenRunTimes(n) }
                cluster.script(25 * SECOND + n * SECOND) { cancel("j-$n", n % 3) }
            }
            cluster.run(CANCELLED_US, CANCELLED_CALM_US)
            cluster.assertRulesHeld(seed)
            assertEquals(0, cluster.checker.doneTaskStartsAfterCancellation) { "seed $seed: done tasks of cancelled jobs were started" }
        }
    }

    private companion object {
        /** A cluster in which few orders are held, and repeats of answered orders come up to two minutes late. */
        val LATE_COPIES = ClusterProfile(heldOrderShare = 0.01, maxHoldUs = 120 * SECOND)
        val PARTLY_DONE_SEEDS = 1L..20L
        val SEEDS = 1L..30L
        const val FAULTS_US = 120_000_000L
        const val CALM_US = 780_000_000L

        /** A cluster in which most direct orders are held, for up to two minutes. */
        val HELD_ORDERS = ClusterProfile(heldOrderShare = 0.7, maxHoldUs = 120 * SECOND)
        val CANCELLED_SEEDS = 1L..12L
        const val CANCELLED_US = 80_000_000L
        const val CANCELLED_CALM_US = 300_000_000L

        /** The limit of newer fencing tokens for clears: one per minute for each of the nine machines, for seven minutes. */
        const val MAX_CLEAR_FENCES = 9 * 7
        val OUTAGE_SEEDS = 1L..20L
        const val OUTAGE_FAULTS_US = 110_000_000L
        const val OUTAGE_CALM_US = 300_000_000L
    }
}
