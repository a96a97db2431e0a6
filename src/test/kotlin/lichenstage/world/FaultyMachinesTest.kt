package lichenstage.world

import lichenstage.common.MILLI
import lichenstage.common.SECOND
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertTrue

/**
 * Guards against jobs that are started on faulty machines again and again. One machine of each zone fails every task, jobs run one at a time, and
 * the leader is restarted within a second now and then, which forgets all failures.
 */
class FaultyMachinesTest {
    @Example
    fun `lone jobs get done beside a faulty machine in each zone, with few attempts there`() {
        var failedAttempts = 0
        for (seed in SEEDS) {
            val cluster = SimulatedCluster(seed)
            repeat(3) { zone -> cluster.script(0) { makeFaulty(zone * MACHINES_PER_ZONE) } }
            repeat(JOBS) { n -> cluster.script(5 * SECOND + n * JOB_INTERVAL_US) { submitLongRunning(n, 6 * SECOND) } }
            for (atS in 50L..250L step 100) cluster.script(atS * SECOND) { crash(maxOf(leaderId, 0), 300 * MILLI) }
            cluster.run(JOBS * JOB_INTERVAL_US, CALM_US)
            cluster.assertRulesHeld(seed)
            failedAttempts += cluster.checker.failedAttempts
        }
        val failuresPerJob = failedAttempts.toDouble() / (JOBS * SEEDS.count())
        assertTrue(failuresPerJob < MAX_FAILURES_PER_JOB) { "$failuresPerJob failed attempts for each job of two tasks" }
        println("$failuresPerJob failed attempts for each job of two tasks")
    }

    private companion object {
        val SEEDS = 1L..10L
        const val JOBS = 10
        const val MACHINES_PER_ZONE = 3
        const val JOB_INTERVAL_US = 30 * SECOND
        const val CALM_US = 200_000_000L

        /** Both tasks of a job can fail once on each of the three faulty machines. */
        const val MAX_FAILURES_PER_JOB = 6.0
    }
}
