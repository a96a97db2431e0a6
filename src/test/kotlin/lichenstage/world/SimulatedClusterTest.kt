package lichenstage.world

import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertTrue

/** Tests that several controllers under seeded faults violate no rule, and that all jobs finish in the end. */
class SimulatedClusterTest {
    @Example
    fun `under random faults no rule is violated and all jobs finish`() = assertRulesHeldForSeeds(SEEDS, ClusterProfile(), CALM_US)

    /** Runs [ClusterProfile.ADVERSE]; `SeedSweepKt unkind` runs it with more seeds. */
    @Example
    fun `with partial frames, late messages and machine churn no rule is violated and all jobs finish`() =
        assertRulesHeldForSeeds(ADVERSE_SEEDS, ClusterProfile.ADVERSE, ADVERSE_CALM_US)

    private fun assertRulesHeldForSeeds(
        seeds: Long,
        profile: ClusterProfile,
        calmUs: Long,
    ) {
        for (seed in 1L..seeds) {
            val cluster = SimulatedCluster(seed, profile = profile)
            cluster.run(FAULTS_US, calmUs)
            cluster.assertRulesHeld(seed)
        }
        println("seeds 1..$seeds violated no rule")
    }

    /** Runs a single seed at the cluster size at which users saw a rule violated; `SeedSweepKt large` runs more seeds. */
    @Example
    fun `with 1,500 machines no rule is violated and all jobs finish`() {
        val cluster = SimulatedCluster(1, profile = ClusterProfile.LARGE)
        cluster.run(FAULTS_US, CALM_US)
        assertTrue(cluster.checker.violations.isEmpty()) { "${cluster.checker.violations.take(3)}" }
        assertTrue(cluster.checker.starts > 3_000) { "${cluster.checker.starts} starts, expected more than 3000" }
        assertTrue(cluster.openJobs.isEmpty()) { "jobs still open: ${cluster.openJobs}" }
    }

    @Example
    fun `each mutation of the service violates its rule`() {
        val expected =
            mapOf(
                Mutation.SHORT_LEASE to "ran_twice",
                Mutation.NO_LEASE_WAIT_AFTER_FAILOVER to "ran_twice",
                Mutation.TEAM_LIMIT_IGNORED to "quota",
                Mutation.JOB_COMPLETED_TOO_EARLY to "not_done",
                Mutation.CANCELLATION_NOT_PROPAGATED to "ran_cancelled",
                Mutation.JOB_NOT_ADDED to "waiting",
                Mutation.STALE_HEARTBEATS_ACCEPTED to "ran_twice",
                Mutation.CLEARS_EXECUTED_IMMEDIATELY to "ran_twice",
            )
        for ((mutation, rule) in expected) {
            assertViolated(rule, mutation, 1L..MAX_SEEDS) { seed -> SimulatedCluster(seed, mutation).apply { run(FAULTS_US, CALM_US) } }
        }
    }

    private companion object {
        const val SEEDS = 150L
        const val MAX_SEEDS = 60L
        const val ADVERSE_SEEDS = 60L
        const val ADVERSE_CALM_US = 420_000_000L
        const val FAULTS_US = 120_000_000L
        const val CALM_US = 240_000_000L
    }
}
