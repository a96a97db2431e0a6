package lichenstage.world

import org.junit.jupiter.api.Assertions.assertTrue

/**
 * Asserts that the finished simulation of [seed] violated no rule, started more than [moreStartsThan] tasks and left no job open. The
 * minimum number of starts guards against a simulation that does nothing.
 */
internal fun SimulatedCluster.assertRulesHeld(
    seed: Long,
    moreStartsThan: Int = 20,
) {
    assertTrue(checker.violations.isEmpty()) { "seed $seed: ${checker.violations.take(3)}" }
    assertTrue(checker.starts > moreStartsThan) { "seed $seed: ${checker.starts} starts, expected more than $moreStartsThan" }
    assertTrue(openJobs.isEmpty()) { "seed $seed: jobs still open: $openJobs\n${describe()}" }
}

/** Returns whether a violation of [rule] has been recorded; an empty [rule] matches every violation. */
internal fun SimulatedCluster.hasViolated(rule: String) = checker.violations.any { it.startsWith(rule) }

/**
 * Asserts that the cluster run by [simulate] violates [rule] for at least one of [seeds]. This shows that the rule checker detects the
 * wrong behaviour that [mutation] introduces.
 */
internal fun assertViolated(
    rule: String,
    mutation: Mutation,
    seeds: LongRange,
    simulate: (Long) -> SimulatedCluster,
) = assertTrue(seeds.any { simulate(it).hasViolated(rule) }) { "$mutation: no seed violated the rule '$rule'" }
