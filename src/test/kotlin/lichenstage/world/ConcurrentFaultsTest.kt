package lichenstage.world

import lichenstage.common.MILLI
import lichenstage.common.SECOND
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

/**
 * Concurrent faults, one test for each pair of the operators' list that the simulated cluster can bring about (docs/operations.md
 * has the table). Each keeps the rules with every seed, all work gets done, and each fails for some seed where the guard named with
 * it is taken out.
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
    fun `a report is held back until a new leader has acted`() =
        assertScenario(Mutation.NO_LEASE_WAIT_AFTER_FAILOVER, "ran_twice") {
            every(12, 60, 16) {
                repeat(9) { cutOff(it, 6 * SECOND, holdsMessages = true) }
                crash(maxOf(leader, 0), 300 * MILLI)
            }
        }

    @Example
    fun `an old report arrives after newer ones, also from an earlier session or attempt`() =
        assertScenario(Mutation.STALE_HEARTBEATS_ACCEPTED, "ran_twice") {
            every(10, 60, 6) { n -> repeat(3) { hang((n * 3 + it) % 9, 17 * SECOND) } }
        }

    @Example
    fun `controllers hand over and back, all end, one returns within a second`() =
        assertScenario(Mutation.NO_LEASE_WAIT_AFTER_FAILOVER, "ran_twice") {
            every(10, 60, 10) { n ->
                crash(n % 3, 200 * MILLI)
                if (n % 2 == 1) repeat(3) { crash(it, if (it == n % 3) 300 * MILLI else 5 * SECOND) }
                cutOff(n % 9, 8 * SECOND, holdsMessages = true)
            }
        }

    @Example
    fun `a leader is cut from state service and peers while workers reach it, and jobs are cancelled through the new one`() =
        assertScenario(Mutation.AUTHORITY_KEPT_AFTER_LEASE, "ran_twice") {
            script(2 * SECOND) { repeat(10) { submitLongRunning(100 + it, 70 * SECOND) } }
            script(20 * SECOND) {
                val cut = maxOf(leader, 0)
                refuse(cut, 55 * SECOND)
                (0..2).filter { it != cut }.forEach { disconnect(cut, it, 55 * SECOND) }
                repeat(9) { if (it % 2 == 0) restrictTo(it, cut, 55 * SECOND) }
            }
            script(32 * SECOND) { repeat(4) { cancel("j-${100 + it}", (leader + it) % 3) } }
        }

    @Example
    fun `there is more work than room over slow links`() =
        assertScenario(Mutation.JOB_NOT_ADDED, "waiting") {
            script(SECOND) {
                submitRandomJobs(30, 20 * SECOND, firstNumber = 300)
                slowDownState(60 * SECOND)
            }
        }

    @Example
    fun `a team is at its limit when the leader changes, machines can't be asked, and a cancellation falls in`() =
        assertScenario(Mutation.REGISTRY_NOT_RECOVERED, "") {
            script(SECOND) { repeat(20) { submitLongRunning(200 + it, 25 * SECOND) } }
            script(20 * SECOND) {
                repeat(5) { cutOff(it, 12 * SECOND, holdsMessages = it % 2 == 0) }
                crash(maxOf(leader, 0), 4 * SECOND)
            }
            script(24 * SECOND) { repeat(4) { cancel("j-${200 + it}", it % 3) } }
        }

    @Example
    fun `leaders change ten times in two minutes, also inside an outage`() =
        assertScenario(Mutation.NO_LEASE_WAIT_AFTER_FAILOVER, "ran_twice") {
            every(8, 68, 6) { n ->
                crash(maxOf(leader, 0), if (n % 2 == 0) 300 * MILLI else 3 * SECOND)
                cutOff(n % 9, 5 * SECOND, holdsMessages = false)
            }
            script(30 * SECOND) { beginOutage(16 * SECOND) }
        }

    @Example
    fun `tasks of small jobs that end far apart are not run again after a change of leader`() {
        fun countReruns(
            seed: Long,
            mutation: Mutation,
        ): Int {
            val cluster = SimulatedCluster(seed, mutation)
            cluster.script(SECOND) { repeat(4) { submitUnevenRunTimes(it) } }
            cluster.every(20, 60, 10) { crash(maxOf(leader, 0), 2 * SECOND) }
            cluster.run(FAULTS_US, CALM_US)
            assertTrue(
                cluster.checker.violations.isEmpty() && cluster.openJobs.isEmpty(),
            ) { "seed $seed: ${cluster.checker.violations} ${cluster.openJobs}" }
            return cluster.checker.reruns
        }
        (1L..SEEDS).forEach { assertEquals(0, countReruns(it, Mutation.NONE)) { "seed $it: done tasks ran again" } }
        assertTrue((1L..MAX_SEEDS).any { countReruns(it, Mutation.DONE_TASKS_NOT_RECOVERED) > 0 }) { "not seen without the ranges" }
    }

    @Example
    fun `a leader ends while machines with long tasks are out of reach or do not hear the new one`() =
        assertScenario(Mutation.NO_LEASE_WAIT_AFTER_FAILOVER, "ran_twice") {
            script(2 * SECOND) { repeat(8) { submitLongRunning(100 + it, 40 * SECOND) } }
            script(20 * SECOND) {
                repeat(3) { cutOff(it, 12 * SECOND, holdsMessages = true) }
                repeat(3) { blockInbound(3 + it, 12 * SECOND) }
                crash(maxOf(leader, 0), 3 * SECOND)
            }
        }

    @Example
    fun `all controllers are away for longer than a lease`() =
        assertScenario(Mutation.JOB_NOT_ADDED, "waiting") {
            script(2 * SECOND) { repeat(6) { submitLongRunning(100 + it, 30 * SECOND) } }
            script(20 * SECOND) { repeat(3) { crash(it, 20 * SECOND + it * SECOND) } }
            script(45 * SECOND) { repeat(3) { crash(it, 17 * SECOND) } }
        }

    @Example
    fun `a zone is cut off for longer than a lease`() =
        assertScenario(Mutation.SHORT_LEASE, "ran_twice") {
            script(2 * SECOND) { repeat(8) { submitLongRunning(100 + it, 40 * SECOND) } }
            script(20 * SECOND) {
                cutZones("a", "b", 22 * SECOND, holdsMessages = true)
                refuse(2, 22 * SECOND)
            }
            script(48 * SECOND) { cutZones("b", "c", 22 * SECOND, holdsMessages = false) }
        }

    @Example
    fun `a command is held for seconds while its machine hangs, and the machine goes on`() =
        assertScenario(Mutation.SHORT_LEASE, "ran_twice") {
            every(6, 66, 5) { n ->
                hang(n % 9, 9 * SECOND)
                hang((n + 4) % 9, 13 * SECOND)
                openJobs.firstOrNull { runningTaskCount(it) > 0 }?.let { cancel(it, n % 3) }
            }
        }

    @Example
    fun `jobs bound to one zone or spread over several lose machines`() =
        assertScenario(Mutation.ZONE_CONSTRAINTS_IGNORED, "wrong_place") {
            every(2, 62, 4) { n -> submitZoneConstrained(100 + n, 3 + n % 5, sameZone = n % 2 == 0) }
            every(8, 68, 12) { n ->
                hang(n % 9, 18 * SECOND)
                cutOff((n + 3) % 9, 17 * SECOND, holdsMessages = true)
                if (n % 2 == 0) crash(maxOf(leader, 0), SECOND)
            }
        }

    @Example
    fun `the state service is slow, then refuses the leader and then everybody, while users cancel`() =
        assertScenario(Mutation.LEASES_RENEWED_WITH_STALE_REPLICA, "ran_cancelled") {
            script(2 * SECOND) { repeat(8) { submitLongRunning(100 + it, 80 * SECOND) } }
            script(10 * SECOND) { slowDownState(12 * SECOND) }
            script(24 * SECOND) { refuse(maxOf(leader, 0), 14 * SECOND) }
            script(24 * SECOND + 700 * MILLI) { repeat(5) { cancel("j-${100 + it}", (leader + 1 + it % 2) % 3) } }
            script(25 * SECOND) { beginOutage(52 * SECOND) }
        }

    @Example
    fun `workers reach no controller while orders still reach them`() =
        assertScenario(Mutation.SHORT_LEASE, "ran_twice") {
            script(2 * SECOND) { repeat(8) { submitLongRunning(100 + it, 40 * SECOND) } }
            every(15, 55, 10) { n -> repeat(3) { blockOutbound((n * 2 + it) % 9, 20 * SECOND) } }
        }

    /**
     * Found on several hundred machines, where more of them change between two acknowledgements than one frame carries: the frame that
     * alone carried a start was lost, a partial frame after it claimed to be complete, and the task was started again.
     */
    @Example
    fun `frames that need several pieces are lost between controllers`() =
        assertScenario(
            Mutation.PARTIAL_FRAMES_TREATED_AS_FINAL,
            "ran_twice",
            ClusterProfile(machinesPerZone = 10, teamCores = 200.0, maxMachinesPerFrame = 1),
        ) {
            every(2, 70, 1) { n ->
                submitRandomJobs(2, SECOND, firstNumber = 100 + 2 * n)
                val leaderId = maxOf(leader, 0)
                (0..2).filter { it != leaderId }.forEach { cutControllers(leaderId, it, 500 * MILLI, holdsMessages = false) }
            }
        }

    private companion object {
        const val SEEDS = 12L
        const val MAX_SEEDS = 40L
        const val FAULTS_US = 75 * SECOND
        const val CALM_US = 240 * SECOND
    }
}
