package lichenstage.world

import lichenstage.common.MILLI
import lichenstage.common.SECOND
import lichenstage.drain.DisruptionBudget
import lichenstage.drain.DrainPolicy
import lichenstage.drain.DrainStatus
import lichenstage.drain.Stage
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

/**
 * Tests of drains under concurrent faults, on machines that are full of long tasks. The rule checker observes the workers: it counts the
 * jobs of each team that are interrupted at the same time, and no team may exceed its budget (`over_budget`). Mutations that remove a
 * guard must make the checker find a team over its budget.
 */
class DrainFaultsTest {
    private val policy = DrainPolicy(DisruptionBudget(maxJobs = 1))

    private fun simulate(
        seed: Long,
        mutation: Mutation = Mutation.NONE,
        policy: DrainPolicy = this.policy,
        controllersWithoutDrains: Set<Int> = emptySet(),
        script: SimulatedCluster.() -> Unit,
    ): SimulatedCluster {
        val profile =
            ClusterProfile(
                machinesPerZone = 4,
                teamCores = 40.0,
                hasMachineChurn = true,
                fetchesImages = true,
                drainPolicy = policy,
                controllersWithoutDrains = controllersWithoutDrains,
            )
        return SimulatedCluster(seed, mutation, profile).apply {
            checker.maxInterruptibleJobs = policy.defaultBudget.maxJobs
            repeat(16) { n -> script(SECOND + n * SECOND) { submitLongRunning(n, 150 * SECOND) } }
            script()
            run(FAULTS_US, CALM_US)
        }
    }

    private fun assertBudgetsKept(
        seeds: LongRange = 1L..SEEDS,
        policy: DrainPolicy = this.policy,
        controllersWithoutDrains: Set<Int> = emptySet(),
        script: SimulatedCluster.() -> Unit,
        check: SimulatedCluster.(Long) -> Unit = { seed -> assertDrainFinished(seed) },
    ) {
        var interruptions = 0
        for (seed in seeds) {
            val cluster = simulate(seed, policy = policy, controllersWithoutDrains = controllersWithoutDrains, script = script)
            assertTrue(cluster.checker.violations.isEmpty()) { "seed $seed: ${cluster.checker.violations.take(3)}" }
            cluster.check(seed)
            interruptions += cluster.checker.interruptions
        }
        assertTrue(interruptions > 0 || policy.defaultBudget.maxJobs == 0) { "no task was interrupted with any seed" }
    }

    private fun SimulatedCluster.assertDrainFinished(seed: Long) {
        assertEquals(DrainStatus.FINISHED, getDrain("all").status) { "seed $seed: ${getDrain("all").status} ${stageCounts("all")}" }
        assertTrue(openJobs.isEmpty()) { "seed $seed: jobs still open: $openJobs" }
    }

    @Example
    fun `a drain of all machines keeps the budgets under random faults`() =
        assertBudgetsKept(script = {
            script(30 * SECOND) { drainAll("all", atMost = 3, replace = false) }
            repeat(10) { n -> script((34 + 6L * n) * SECOND) { injectRandomFault() } }
        })

    @Example
    fun `a drain with replacements keeps the budgets when some replacements never come up`() =
        assertBudgetsKept(script = {
            script(30 * SECOND) { drainAll("all", atMost = 4, replace = true) }
            repeat(5) { n -> script((40 + 12L * n) * SECOND) { injectRandomFault() } }
        })

    @Example
    fun `a drain keeps the budgets when the leader changes ten times within two minutes`() =
        assertBudgetsKept(script = {
            script(30 * SECOND) { drainAll("all", atMost = 4, replace = false) }
            repeat(10) { n -> script((36 + 12L * n) * SECOND) { crash(maxOf(leaderId, 0), (300 + 700L * (n % 3)) * MILLI) } }
        })

    @Example
    fun `a drain keeps the budgets when the leader loses the state service and a long outage follows`() =
        assertBudgetsKept(script = {
            script(30 * SECOND) { drainAll("all", atMost = 4, replace = false) }
            repeat(4) { n -> script((40 + 15L * n) * SECOND) { cutFromState(maxOf(leaderId, 0), 9 * SECOND, holdsMessages = n % 2 == 0) } }
            script(110 * SECOND) { beginOutage(45 * SECOND) }
        })

    @Example
    fun `a drain keeps the budgets when machines hang, receive nothing or are terminated meanwhile`() =
        assertBudgetsKept(script = {
            script(30 * SECOND) { drainAll("all", atMost = 4, replace = false) }
            repeat(8) { n ->
                script((38 + 7L * n) * SECOND) {
                    hang(n % 12, 12 * SECOND)
                    blockInbound((n + 3) % 12, 14 * SECOND)
                    if (n % 3 == 0) repeat(3) { terminateMachine((n + 5 + it) % 12) }
                }
            }
        })

    @Example
    fun `a drain keeps the budgets when a zone is cut off and heartbeats of its machines are lost`() =
        assertBudgetsKept(script = {
            script(30 * SECOND) { drainAll("all", atMost = 4, replace = true) }
            script(45 * SECOND) { cutZones("a", "b", 22 * SECOND, holdsMessages = true) }
            script(75 * SECOND) { (0..2).forEach { blockOutbound(it, 20 * SECOND) } }
            script(100 * SECOND) {
                cutZones("a", "b", 25 * SECOND, holdsMessages = false)
                cutZones("b", "c", 25 * SECOND, holdsMessages = false)
                refuse(2, 25 * SECOND)
            }
        })

    /** While the older controller leads, drains interrupt no task. A later leader must still count the interruptions recorded before. */
    @Example
    fun `a drain keeps the budgets when a controller of a version without drains leads at times`() =
        assertBudgetsKept(controllersWithoutDrains = setOf(1), script = {
            script(30 * SECOND) { drainAll("all", atMost = 4, replace = false) }
            repeat(10) { n -> script((36 + 11L * n) * SECOND) { crash(maxOf(leaderId, 0), (300 + 900L * (n % 3)) * MILLI) } }
            // Crashes the older controller whenever it leads, so that another one takes over and the drain can finish.
            repeat(10) { n -> script((160 + 40L * n) * SECOND) { if (leaderId == 1) crash(1, 4 * SECOND) } }
        })

    @Example
    fun `a drain with a budget of zero interrupts no task and finishes when all tasks have ended`() =
        assertBudgetsKept(
            1L..4L,
            DrainPolicy(DisruptionBudget(maxJobs = 0)),
            script = { script(30 * SECOND) { drainAll("all", atMost = 12, replace = false) } },
        ) { seed ->
            assertEquals(0, checker.interruptions) { "seed $seed: ${checker.interruptions} tasks interrupted, expected none" }
            assertEquals(DrainStatus.FINISHED, getDrain("all").status) { "seed $seed: ${stageCounts("all")}" }
        }

    @Example
    fun `two drains of the same machines keep the budgets and both finish`() =
        assertBudgetsKept(1L..6L, script = {
            script(30 * SECOND) { drainAll("all", atMost = 2, replace = false) }
            script(31 * SECOND) { drainAll("second", atMost = 2, replace = false) }
            script(60 * SECOND) { crash(maxOf(leaderId, 0), SECOND) }
        }) { seed ->
            assertDrainFinished(seed)
            assertEquals(DrainStatus.FINISHED, getDrain("second").status) { "seed $seed: ${stageCounts("second")}" }
        }

    @Example
    fun `a paused drain interrupts at most two more tasks, and after its cancellation all jobs finish`() =
        assertBudgetsKept(1L..4L, script = {
            script(30 * SECOND) { drainAll("all", atMost = 2, replace = false) }
            script(50 * SECOND) { setDrain("all", DrainStatus.PAUSED) }
            script(52 * SECOND) { interruptionsAtPause = checker.interruptions }
            script(80 * SECOND) {
                assertTrue(
                    checker.interruptions <= interruptionsAtPause + 2,
                ) { "the paused drain went on: ${checker.interruptions} interruptions, $interruptionsAtPause at the pause" }
            }
            script(81 * SECOND) { setDrain("all", DrainStatus.CANCELLED) }
        }) { seed ->
            assertTrue((stageCounts("all")[Stage.WAITING] ?: 0) > 0) { "seed $seed: ${stageCounts("all")}" }
            assertTrue(openJobs.isEmpty()) { "seed $seed: jobs still open: $openJobs" }
        }

    private var interruptionsAtPause = 0

    /** Both mutations break the leader's account of interruptions, so that it interrupts more jobs than the budget allows. */
    @Example
    fun `the checker finds a team over its budget when the account of interruptions is wrong`() {
        for (mutation in listOf(Mutation.INTERRUPTIONS_NOT_RECOVERED, Mutation.INTERRUPTIONS_ENDED_AT_STOP)) {
            assertViolated("over_budget", mutation, 1L..MAX_SEEDS) { seed ->
                simulate(seed, mutation) {
                    script(30 * SECOND) { drainAll("all", atMost = 6, replace = false) }
                    repeat(12) { n -> script((36 + 7L * n) * SECOND) { crash(maxOf(leaderId, 0), 300 * MILLI) } }
                }
            }
        }
    }

    private companion object {
        const val SEEDS = 8L
        const val MAX_SEEDS = 30L
        const val FAULTS_US = 150 * SECOND
        const val CALM_US = 1_200 * SECOND
    }
}
