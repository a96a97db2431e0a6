package lichenstage.world

import lichenstage.common.MILLI
import lichenstage.common.SECOND
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

/**
 * Tests of concurrent faults. The operators keep a list of pairs of faults (see the table in docs/operations.md); there is one test for
 * each pair that the simulated cluster can reproduce. With every seed, no rule may be violated and all jobs must finish. Most tests also
 * name a mutation that removes the guard against the fault, and assert that the rule is then violated for at least one seed.
 */
class ConcurrentFaultsTest {
    private fun assertScenario(
        mutation: Mutation? = null,
        rule: String = "",
        profile: ClusterProfile = ClusterProfile(),
        script: SimulatedCluster.() -> Unit,
    ) {
        for (seed in 1L..SEEDS) {
            val cluster = simulate(seed, Mutation.NONE, profile, script)
            cluster.assertRulesHeld(seed, moreStartsThan = 5)
        }
        if (mutation == null) return
        assertViolated(rule, mutation, 1L..MAX_SEEDS) { seed -> simulate(seed, mutation, profile, script) }
    }

    private fun simulate(
        seed: Long,
        mutation: Mutation,
        profile: ClusterProfile,
        script: SimulatedCluster.() -> Unit,
    ) = SimulatedCluster(seed, mutation, profile).apply {
        script(0) { submitRandomJobs(14, FAULTS_US) }
        script()
        run(FAULTS_US, CALM_US)
    }

    private fun SimulatedCluster.every(
        fromS: Int,
        toS: Int,
        stepS: Int,
        event: SimulatedCluster.(Int) -> Unit,
    ) = (fromS..toS step stepS).forEachIndexed { n, atS -> script(atS * SECOND) { event(n) } }

    @Example
    fun `no task runs twice when a heartbeat arrives only after a new leader has acted`() =
        assertScenario(Mutation.NO_LEASE_WAIT_AFTER_FAILOVER, "ran_twice") {
            every(12, 60, 16) {
                repeat(9) { cutOff(it, 6 * SECOND, holdsMessages = true) }
                crash(maxOf(leaderId, 0), 300 * MILLI)
            }
        }

    @Example
    fun `no task runs twice when an old heartbeat arrives after newer ones, also from an earlier agent epoch or attempt`() =
        assertScenario(Mutation.STALE_HEARTBEATS_ACCEPTED, "ran_twice") {
            every(10, 60, 6) { n -> repeat(3) { hang((n * 3 + it) % 9, 17 * SECOND) } }
        }

    @Example
    fun `no task runs twice when controllers take over from each other, all crash and one is back within a second`() =
        assertScenario(Mutation.NO_LEASE_WAIT_AFTER_FAILOVER, "ran_twice") {
            every(10, 60, 10) { n ->
                crash(n % 3, 200 * MILLI)
                if (n % 2 == 1) repeat(3) { crash(it, if (it == n % 3) 300 * MILLI else 5 * SECOND) }
                cutOff(n % 9, 8 * SECOND, holdsMessages = true)
            }
        }

    @Example
    fun `no task runs twice when only workers reach the old leader and jobs are cancelled through the new one`() =
        assertScenario(Mutation.AUTHORITY_KEPT_AFTER_LEASE, "ran_twice") {
            script(2 * SECOND) { repeat(10) { submitLongRunning(100 + it, 70 * SECOND) } }
            script(20 * SECOND) {
                val cutId = maxOf(leaderId, 0)
                refuse(cutId, 55 * SECOND)
                (0..2).filter { it != cutId }.forEach { disconnect(cutId, it, 55 * SECOND) }
                repeat(9) { if (it % 2 == 0) restrictTo(it, cutId, 55 * SECOND) }
            }
            script(32 * SECOND) { repeat(4) { cancel("j-${100 + it}", (leaderId + it) % 3) } }
        }

    @Example
    fun `no job is left waiting when there is more work than capacity and the state service is slow`() =
        assertScenario(Mutation.JOB_NOT_ADDED, "waiting") {
            script(SECOND) {
                submitRandomJobs(30, 20 * SECOND, firstNumber = 300)
                slowDownState(60 * SECOND)
            }
        }

    @Example
    fun `a team at its limit stays within it when the leader changes, machines are unreachable and jobs are cancelled`() =
        assertScenario(Mutation.REGISTRY_NOT_RECOVERED, "") {
            script(SECOND) { repeat(20) { submitLongRunning(200 + it, 25 * SECOND) } }
            script(20 * SECOND) {
                repeat(5) { cutOff(it, 12 * SECOND, holdsMessages = it % 2 == 0) }
                crash(maxOf(leaderId, 0), 4 * SECOND)
            }
            script(24 * SECOND) { repeat(4) { cancel("j-${200 + it}", it % 3) } }
        }

    @Example
    fun `no task runs twice when the leader changes ten times within two minutes, also during an outage`() =
        assertScenario(Mutation.NO_LEASE_WAIT_AFTER_FAILOVER, "ran_twice") {
            every(8, 68, 6) { n ->
                crash(maxOf(leaderId, 0), if (n % 2 == 0) 300 * MILLI else 3 * SECOND)
                cutOff(n % 9, 5 * SECOND, holdsMessages = false)
            }
            script(30 * SECOND) { beginOutage(16 * SECOND) }
        }

    @Example
    fun `done tasks of an open job are not run again after a leader change`() {
        fun countReruns(
            seed: Long,
            mutation: Mutation,
        ): Int {
            val cluster = SimulatedCluster(seed, mutation)
            cluster.script(SECOND) { repeat(4) { submitUnevenRunTimes(it) } }
            cluster.every(20, 60, 10) { crash(maxOf(leaderId, 0), 2 * SECOND) }
            cluster.run(FAULTS_US, CALM_US)
            assertTrue(
                cluster.checker.violations.isEmpty() && cluster.openJobs.isEmpty(),
            ) { "seed $seed: ${cluster.checker.violations} ${cluster.openJobs}" }
            return cluster.checker.reruns
        }
        (1L..SEEDS).forEach { assertEquals(0, countReruns(it, Mutation.NONE)) { "seed $it: done tasks were run again" } }
        assertTrue(
            (1L..MAX_SEEDS).any {
                countReruns(it, Mutation.DONE_TASKS_NOT_RECOVERED) > 0
            },
        ) { "${Mutation.DONE_TASKS_NOT_RECOVERED}: no seed ran a done task again" }
    }

    @Example
    fun `no task runs twice when the leader crashes while machines are cut off or cannot be reached by the new leader`() =
        assertScenario(Mutation.NO_LEASE_WAIT_AFTER_FAILOVER, "ran_twice") {
            script(2 * SECOND) { repeat(8) { submitLongRunning(100 + it, 40 * SECOND) } }
            script(20 * SECOND) {
                repeat(3) { cutOff(it, 12 * SECOND, holdsMessages = true) }
                repeat(3) { blockInbound(3 + it, 12 * SECOND) }
                crash(maxOf(leaderId, 0), 3 * SECOND)
            }
        }

    @Example
    fun `all jobs finish when all controllers are down for longer than a worker lease`() =
        assertScenario(Mutation.JOB_NOT_ADDED, "waiting") {
            script(2 * SECOND) { repeat(6) { submitLongRunning(100 + it, 30 * SECOND) } }
            script(20 * SECOND) { repeat(3) { crash(it, 20 * SECOND + it * SECOND) } }
            script(45 * SECOND) { repeat(3) { crash(it, 17 * SECOND) } }
        }

    @Example
    fun `no task runs twice when a zone is cut off for longer than a worker lease`() =
        assertScenario(Mutation.SHORT_LEASE, "ran_twice") {
            script(2 * SECOND) { repeat(8) { submitLongRunning(100 + it, 40 * SECOND) } }
            script(20 * SECOND) {
                cutZones("a", "b", 22 * SECOND, holdsMessages = true)
                refuse(2, 22 * SECOND)
            }
            script(48 * SECOND) { cutZones("b", "c", 22 * SECOND, holdsMessages = false) }
        }

    @Example
    fun `no task runs twice when a command is held for seconds because its machine hangs`() =
        assertScenario(Mutation.SHORT_LEASE, "ran_twice") {
            every(6, 66, 5) { n ->
                hang(n % 9, 9 * SECOND)
                hang((n + 4) % 9, 13 * SECOND)
                openJobs.firstOrNull { runningTaskCount(it) > 0 }?.let { cancel(it, n % 3) }
            }
        }

    @Example
    fun `jobs bound to one zone or spread over several keep their constraint when they lose machines`() =
        assertScenario(Mutation.ZONE_CONSTRAINTS_IGNORED, "wrong_place") {
            every(2, 62, 4) { n -> submitZoneConstrained(100 + n, 3 + n % 5, requiresSameZone = n % 2 == 0) }
            every(8, 68, 12) { n ->
                hang(n % 9, 18 * SECOND)
                cutOff((n + 3) % 9, 17 * SECOND, holdsMessages = true)
                if (n % 2 == 0) crash(maxOf(leaderId, 0), SECOND)
            }
        }

    @Example
    fun `cancelled jobs stop in time when the state service is slow, then refuses the leader and then all controllers`() =
        assertScenario(Mutation.LEASES_RENEWED_WITH_STALE_REPLICA, "ran_cancelled") {
            script(2 * SECOND) { repeat(8) { submitLongRunning(100 + it, 80 * SECOND) } }
            script(10 * SECOND) { slowDownState(12 * SECOND) }
            script(24 * SECOND) { refuse(maxOf(leaderId, 0), 14 * SECOND) }
            script(24 * SECOND + 700 * MILLI) { repeat(5) { cancel("j-${100 + it}", (leaderId + 1 + it % 2) % 3) } }
            script(25 * SECOND) { beginOutage(52 * SECOND) }
        }

    @Example
    fun `no task runs twice when orders reach workers whose heartbeats reach no controller`() =
        assertScenario(Mutation.SHORT_LEASE, "ran_twice") {
            script(2 * SECOND) { repeat(8) { submitLongRunning(100 + it, 40 * SECOND) } }
            every(15, 55, 10) { n -> repeat(3) { blockOutbound((n * 2 + it) % 9, 20 * SECOND) } }
        }

    /**
     * Guards against a partial frame that is taken for a final one. The fault occurred with several hundred machines, when more machines
     * changed between two acknowledgements than fit into one frame: the only frame that carried a start was lost, a later partial frame
     * claimed to be final, and the task was started again.
     */
    @Example
    fun `no task runs twice when partial frames between controllers are lost`() =
        assertScenario(
            Mutation.PARTIAL_FRAMES_TREATED_AS_FINAL,
            "ran_twice",
            ClusterProfile(machinesPerZone = 10, teamCores = 200.0, maxMachinesPerFrame = 1),
        ) {
            every(2, 70, 1) { n ->
                submitRandomJobs(2, SECOND, firstNumber = 100 + 2 * n)
                val targetId = maxOf(leaderId, 0)
                (0..2).filter { it != targetId }.forEach { cutControllers(targetId, it, 500 * MILLI, holdsMessages = false) }
            }
        }

    private companion object {
        const val SEEDS = 12L
        const val MAX_SEEDS = 40L
        const val FAULTS_US = 75 * SECOND
        const val CALM_US = 240 * SECOND
    }
}
