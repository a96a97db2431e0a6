package lichenstage.world

import lichenstage.common.MILLI
import lichenstage.common.SECOND
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertTrue

/**
 * Tests of pipelines (chains, fans and diamonds of jobs) under concurrent faults:
 * - No task starts before all dependencies of its job are done (`too_early`).
 * - From `cancel_s` after a cancellation, no job that depends on the cancelled one is reported as open (`orphaned`).
 * - Once the faults are over, no job is polled for long without a reply (`forgotten`).
 *
 * Each mutation that removes a guard violates one of these rules.
 */
class PipelineFaultsTest {
    private class Scenario(
        val name: String,
        val script: SimulatedCluster.() -> Unit,
    )

    private val scenarios =
        listOf(
            Scenario("random faults") {
                repeat(24) { n -> script(SECOND + n * 3 * SECOND) { injectRandomFault() } }
                scheduleCancellations(8)
            },
            Scenario("the state service refuses only the leader while first stages are cancelled") {
                script(20 * SECOND) { refuse(maxOf(leaderId, 0), 30 * SECOND) }
                scheduleCancellations(21)
            },
            Scenario("an outage longer than the time limit of a cancellation, right after cancellations") {
                script(24 * SECOND) { cancelPipelines(4) }
                script(24 * SECOND + 30 * MILLI) { beginOutage(50 * SECOND) }
            },
            Scenario("the same outage, and no other controller learns of the cancellations before it ends") {
                script(24 * SECOND) {
                    for ((idA, idB) in listOf(0 to 1, 0 to 2, 1 to 2)) disconnect(idA, idB, 60 * SECOND)
                    cancelPipelines(4)
                }
                script(24 * SECOND + 30 * MILLI) { beginOutage(50 * SECOND) }
            },
            Scenario("transactions are delayed and applied late while leaders change") {
                for (atS in 15L..60L step 15) {
                    script(atS * SECOND) {
                        val targetId = maxOf(leaderId, 0)
                        cutFromState(targetId, 6 * SECOND, holdsMessages = true)
                        crash((targetId + 1) % 3, 300 * MILLI)
                    }
                }
                scheduleCancellations(16)
            },
            Scenario("cancellations at about the time at which a first stage is recorded as done") {
                for (atS in 4L..60L step 4) script(atS * SECOND) { cancelPipelines(1) }
            },
            Scenario("controllers crash one after the other and all together, some are back at once") {
                for ((n, atS) in (10L..64L step 6).withIndex()) script(atS * SECOND) { crash(n % 3, (300 + n % 3 * 2000) * MILLI) }
                script(40 * SECOND) { repeat(3) { crash(it, SECOND + it * SECOND) } }
                scheduleCancellations(9)
            },
        )

    private fun SimulatedCluster.scheduleCancellations(fromS: Long) {
        for (atS in fromS..65L step 7) script(atS * SECOND) { cancelPipelines(1) }
    }

    private fun simulate(
        scenario: Scenario,
        seed: Long,
        mutation: Mutation = Mutation.NONE,
    ) = SimulatedCluster(seed, mutation).apply {
        repeat(16) { n -> script(SECOND + n * 4 * SECOND) { submitPipeline(1000 + 4 * n) } }
        script(0) { submitRandomJobs(8, FAULTS_US) }
        scenario.script(this)
        // Submitted after all faults and cancellations, and independent of earlier jobs, so this pipeline must always get done.
        script(FAULTS_US + SECOND) { submitPipeline(LAST_PIPELINE, isIndependent = true) }
        run(FAULTS_US, CALM_US)
    }

    @Example
    fun `under concurrent faults the rules of pipelines hold and all jobs that are not cancelled get done`() {
        for (scenario in scenarios) {
            for (seed in 1L..SEEDS) {
                val cluster = simulate(scenario, seed)
                assertTrue(cluster.checker.violations.isEmpty()) { "${scenario.name}, seed $seed: ${cluster.checker.violations.take(3)}" }
                assertTrue(
                    cluster.openJobs.isEmpty(),
                ) { "${scenario.name}, seed $seed: jobs still open: ${cluster.openJobs}\n${cluster.describe()}" }
                val lastPipelineJobs = (LAST_PIPELINE until LAST_PIPELINE + JOBS_PER_PIPELINE).map { "j-$it" }
                assertTrue(cluster.doneJobs.containsAll(lastPipelineJobs)) {
                    "${scenario.name}, seed $seed: expected $lastPipelineJobs among the done jobs ${cluster.doneJobs}"
                }
            }
        }
    }

    @Example
    fun `without one of the guards a rule of pipelines is violated`() {
        val violatedRules =
            mapOf(
                Mutation.DEPENDENCIES_IGNORED to "too_early",
                Mutation.CANCELLED_TREATED_AS_DONE to "too_early",
                Mutation.CANCELLED_DEPENDENCIES_IGNORED to "forgotten",
                Mutation.UNRESOLVED_REPORTED_OPEN to "orphaned",
                Mutation.STALE_REPORTED_OPEN to "orphaned",
            )
        for ((mutation, rule) in violatedRules) {
            val isViolated =
                scenarios.any { scenario -> (1L..MAX_SEEDS).any { seed -> simulate(scenario, seed, mutation).hasViolated(rule) } }
            assertTrue(isViolated) { "$mutation: no scenario violated the rule '$rule'" }
        }
    }

    private companion object {
        const val SEEDS = 12L
        const val MAX_SEEDS = 40L
        const val FAULTS_US = 75 * SECOND
        const val CALM_US = 240 * SECOND

        const val JOBS_PER_PIPELINE = 4

        /** The number of the first job of the last pipeline. */
        const val LAST_PIPELINE = 2000
    }
}
