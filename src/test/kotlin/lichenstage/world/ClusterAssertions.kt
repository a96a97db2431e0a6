package lichenstage.world

import org.junit.jupiter.api.Assertions.assertTrue

/** Fails unless the cluster of [seed], which has been run, violated no rule, started more than [moreStartsThan] tasks and finished all jobs. */
internal fun SimulatedCluster.assertRulesHeld(
    seed: Long,
    moreStartsThan: Int = 20,
) {
    assertTrue(checker.violations.isEmpty()) { "seed $seed: ${checker.violations.take(3)}" }
    assertTrue(checker.starts > moreStartsThan) { "seed $seed: only ${checker.starts} starts" }
    assertTrue(openJobs.isEmpty()) { "seed $seed: never finished: $openJobs\n${describe()}" }
}

/** Whether a violation of [rule] has been recorded; an empty [rule] stands for any. */
internal fun SimulatedCluster.hasViolated(rule: String) = checker.violations.any { it.startsWith(rule) }

/**
 * Fails unless the cluster that [simulate] runs violates [rule] for some of [seeds]. A check that can't fail is none: it is to find what
 * [mutation] does wrongly.
 */
internal fun assertViolated(
    rule: String,
    mutation: Mutation,
    seeds: LongRange,
    simulate: (Long) -> SimulatedCluster,
) = assertTrue(seeds.any { simulate(it).hasViolated(rule) }) { "$mutation: nothing violated $rule" }
