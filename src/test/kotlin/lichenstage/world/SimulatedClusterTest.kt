package lichenstage.world

import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertTrue

/** Several controllers' decisions under seeded troubles keep every rule, and all work gets done in the end. */
class SimulatedClusterTest {
    @Example
    fun rulesHoldUnderTroubles() = rulesHold(SEEDS, ClusterProfile(), CALM_US)

    /** All that the protocol allows of messages, frames, connections and machines; [ClusterProfile.LARGE] is played by `SeedSweep`. */
    @Example
    fun rulesHoldUnderUnkindConditions() = rulesHold(UNKIND_SEEDS, ClusterProfile.UNKIND, UNKIND_CALM_US)

    private fun rulesHold(
        seeds: Long,
        profile: ClusterProfile,
        calmUs: Long,
    ) {
        for (seed in 1L..seeds) {
            val world = SimulatedCluster(seed, profile = profile)
            world.run(FAULTS_US, calmUs)
            world.requireRulesHeld(seed)
        }
        println("world seeds 1..$seeds kept the rules")
    }

    /** One seed of the size at which users saw a rule broken. */
    @Example
    fun rulesHoldOnManyMachines() {
        val world = SimulatedCluster(1, profile = ClusterProfile.LARGE)
        world.run(FAULTS_US, CALM_US)
        assertTrue(world.checker.broken.isEmpty()) { "${world.checker.broken.take(3)}" }
        assertTrue(world.checker.starts > 3_000) { "only ${world.checker.starts} starts" }
        assertTrue(world.openJobs.isEmpty()) { "never finished: ${world.openJobs}" }
    }

    /** A check that can't fail is none: each way of building the service wrongly must be noticed in some world. */
    @Example
    fun checkerSeesEachViolation() {
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
            val seen =
                (1L..MOST_SEEDS).any { seed ->
                    SimulatedCluster(seed, mutation)
                        .apply { run(FAULTS_US, CALM_US) }
                        .checker.broken
                        .any { it.startsWith(rule) }
                }
            assertTrue(seen) { "$mutation: no world broke $rule" }
        }
    }

    private companion object {
        const val SEEDS = 150L
        const val MOST_SEEDS = 60L
        const val UNKIND_SEEDS = 60L
        const val UNKIND_CALM_US = 420_000_000L
        const val FAULTS_US = 120_000_000L
        const val CALM_US = 240_000_000L
    }
}
