package lichenstage.world

import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertTrue

/** The decisions of several controllers under seeded faults violate no rule, and all jobs get done in the end. */
class SimulatedClusterTest {
    @Example
    fun `under drawn faults no rule is violated and all jobs get done`() = rulesHold(SEEDS, ClusterProfile(), CALM_US)

    /** All that the protocol allows of messages, frames, connections and machines; [ClusterProfile.LARGE] is run by `SeedSweep`. */
    @Example
    fun `under all that the protocol allows no rule is violated and all jobs get done`() =
        rulesHold(UNKIND_SEEDS, ClusterProfile.ADVERSE, UNKIND_CALM_US)

    private fun rulesHold(
        seeds: Long,
        profile: ClusterProfile,
        calmUs: Long,
    ) {
        for (seed in 1L..seeds) {
            val world = SimulatedCluster(seed, profile = profile)
            world.run(FAULTS_US, calmUs)
            world.assertRulesHeld(seed)
        }
        println("seeds 1..$seeds violated no rule")
    }

    /** One seed of the size at which users saw a rule broken. */
    @Example
    fun `with 1,500 machines no rule is violated and all jobs get done`() {
        val world = SimulatedCluster(1, profile = ClusterProfile.LARGE)
        world.run(FAULTS_US, CALM_US)
        assertTrue(world.checker.violations.isEmpty()) { "${world.checker.violations.take(3)}" }
        assertTrue(world.checker.starts > 3_000) { "only ${world.checker.starts} starts" }
        assertTrue(world.openJobs.isEmpty()) { "never finished: ${world.openJobs}" }
    }

    @Example
    fun `each way of building the service wrongly violates its rule`() {
        val expected =
            mapOf(
                Mutation.SHORT_LEASE to "ran_twice",
                Mutation.EAGER_OWNER to "ran_twice",
                Mutation.IGNORED_LIMIT to "quota",
                Mutation.DONE_TOO_EARLY to "not_done",
                Mutation.CANCEL_UNHEARD to "ran_cancelled",
                Mutation.JOB_FORGOTTEN to "waiting",
                Mutation.COPIES_BELIEVED to "ran_twice",
                Mutation.CLEARED_AT_ONCE to "ran_twice",
            )
        for ((mutation, rule) in expected) {
            assertViolated(rule, mutation, 1L..MAX_SEEDS) { seed -> SimulatedCluster(seed, mutation).apply { run(FAULTS_US, CALM_US) } }
        }
    }

    private companion object {
        const val SEEDS = 150L
        const val MAX_SEEDS = 60L
        const val UNKIND_SEEDS = 60L
        const val UNKIND_CALM_US = 420_000_000L
        const val FAULTS_US = 120_000_000L
        const val CALM_US = 240_000_000L
    }
}
