package lichenstage.world

import org.junit.jupiter.api.Assertions.assertTrue

/** Fails unless the world of [seed], which has been played, broke no rule, began more than [startsOver] tasks and finished all jobs. */
internal fun SimulatedCluster.requireRulesHeld(
    seed: Long,
    startsOver: Int = 20,
) {
    assertTrue(checker.broken.isEmpty()) { "seed $seed: ${checker.broken.take(3)}" }
    assertTrue(checker.starts > startsOver) { "seed $seed: only ${checker.starts} starts" }
    assertTrue(openJobs.isEmpty()) { "seed $seed: never finished: $openJobs\n${describe()}" }
}
