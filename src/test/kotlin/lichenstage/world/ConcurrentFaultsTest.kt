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
    private fun scenario(
        guard: Mutation? = null,
        rule: String = "",
        profile: ClusterProfile = ClusterProfile(),
        script: SimulatedCluster.() -> Unit,
    ) {
        for (seed in 1L..SEEDS) {
            val world = play(seed, Mutation.NONE, profile, script)
            world.assertRulesHeld(seed, startsOver = 5)
        }
        if (guard == null) return
        assertViolated(rule, guard, 1L..MAX_SEEDS) { seed -> play(seed, guard, profile, script) }
    }

    private fun play(
        seed: Long,
        mutation: Mutation,
        profile: ClusterProfile,
        script: SimulatedCluster.() -> Unit,
    ) = SimulatedCluster(seed, mutation, profile).apply {
        script(0) { load(14, FAULTS_US) }
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
        scenario(Mutation.EAGER_OWNER, "ran_twice") {
            every(12, 60, 16) {
                repeat(9) { cutOff(it, 6 * SECOND, held = true) }
                crash(maxOf(leader, 0), 300 * MILLI)
            }
        }

    @Example
    fun `an old report arrives after newer ones, also from an earlier session or attempt`() =
        scenario(Mutation.COPIES_BELIEVED, "ran_twice") {
            every(10, 60, 6) { n -> repeat(3) { hang((n * 3 + it) % 9, 17 * SECOND) } }
        }

    @Example
    fun `controllers hand over and back, all end, one returns within a second`() =
        scenario(Mutation.EAGER_OWNER, "ran_twice") {
            every(10, 60, 10) { n ->
                crash(n % 3, 200 * MILLI)
                if (n % 2 == 1) repeat(3) { crash(it, if (it == n % 3) 300 * MILLI else 5 * SECOND) }
                cutOff(n % 9, 8 * SECOND, held = true)
            }
        }

    @Example
    fun `a leader is cut from state service and peers while workers reach it, and jobs are cancelled through the new one`() =
        scenario(Mutation.AUTHORITY_KEPT, "ran_twice") {
            script(2 * SECOND) { repeat(10) { submitLong(100 + it, 70 * SECOND) } }
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
        scenario(Mutation.JOB_FORGOTTEN, "waiting") {
            script(SECOND) {
                load(30, 20 * SECOND, first = 300)
                slowState(60 * SECOND)
            }
        }

    @Example
    fun `a team is at its limit when the leader changes, machines can't be asked, and a cancellation falls in`() =
        scenario(Mutation.REGISTRY_LOST, "") {
            script(SECOND) { repeat(20) { submitLong(200 + it, 25 * SECOND) } }
            script(20 * SECOND) {
                repeat(5) { cutOff(it, 12 * SECOND, held = it % 2 == 0) }
                crash(maxOf(leader, 0), 4 * SECOND)
            }
            script(24 * SECOND) { repeat(4) { cancel("j-${200 + it}", it % 3) } }
        }

    @Example
    fun `leaders change ten times in two minutes, also inside an outage`() =
        scenario(Mutation.EAGER_OWNER, "ran_twice") {
            every(8, 68, 6) { n ->
                crash(maxOf(leader, 0), if (n % 2 == 0) 300 * MILLI else 3 * SECOND)
                cutOff(n % 9, 5 * SECOND, held = false)
            }
            script(30 * SECOND) { outage(16 * SECOND) }
        }

    @Example
    fun `tasks of small jobs that end far apart are not run again after a change of leader`() {
        fun reruns(
            seed: Long,
            mutation: Mutation,
        ): Int {
            val world = SimulatedCluster(seed, mutation)
            world.script(SECOND) { repeat(4) { submitUneven(it) } }
            world.every(20, 60, 10) { crash(maxOf(leader, 0), 2 * SECOND) }
            world.run(FAULTS_US, CALM_US)
            assertTrue(
                world.checker.violations.isEmpty() && world.openJobs.isEmpty(),
            ) { "seed $seed: ${world.checker.violations} ${world.openJobs}" }
            return world.checker.reruns
        }
        (1L..SEEDS).forEach { assertEquals(0, reruns(it, Mutation.NONE)) { "seed $it: done tasks ran again" } }
        assertTrue((1L..MAX_SEEDS).any { reruns(it, Mutation.RANGES_LOST) > 0 }) { "not seen without the ranges" }
    }

    @Example
    fun `a leader ends while machines with long tasks are out of reach or do not hear the new one`() =
        scenario(Mutation.EAGER_OWNER, "ran_twice") {
            script(2 * SECOND) { repeat(8) { submitLong(100 + it, 40 * SECOND) } }
            script(20 * SECOND) {
                repeat(3) { cutOff(it, 12 * SECOND, held = true) }
                repeat(3) { blockInbound(3 + it, 12 * SECOND) }
                crash(maxOf(leader, 0), 3 * SECOND)
            }
        }

    @Example
    fun `all controllers are away for longer than a lease`() =
        scenario(Mutation.JOB_FORGOTTEN, "waiting") {
            script(2 * SECOND) { repeat(6) { submitLong(100 + it, 30 * SECOND) } }
            script(20 * SECOND) { repeat(3) { crash(it, 20 * SECOND + it * SECOND) } }
            script(45 * SECOND) { repeat(3) { crash(it, 17 * SECOND) } }
        }

    @Example
    fun `a zone is cut off for longer than a lease`() =
        scenario(Mutation.SHORT_LEASE, "ran_twice") {
            script(2 * SECOND) { repeat(8) { submitLong(100 + it, 40 * SECOND) } }
            script(20 * SECOND) {
                cutZones("a", "b", 22 * SECOND, held = true)
                refuse(2, 22 * SECOND)
            }
            script(48 * SECOND) { cutZones("b", "c", 22 * SECOND, held = false) }
        }

    @Example
    fun `a command is held for seconds while its machine hangs, and the machine goes on`() =
        scenario(Mutation.SHORT_LEASE, "ran_twice") {
            every(6, 66, 5) { n ->
                hang(n % 9, 9 * SECOND)
                hang((n + 4) % 9, 13 * SECOND)
                openJobs.firstOrNull { running(it) > 0 }?.let { cancel(it, n % 3) }
            }
        }

    @Example
    fun `jobs bound to one zone or spread over several lose machines`() =
        scenario(Mutation.ZONES_IGNORED, "wrong_place") {
            every(2, 62, 4) { n -> submitBound(100 + n, 3 + n % 5, sameZone = n % 2 == 0) }
            every(8, 68, 12) { n ->
                hang(n % 9, 18 * SECOND)
                cutOff((n + 3) % 9, 17 * SECOND, held = true)
                if (n % 2 == 0) crash(maxOf(leader, 0), SECOND)
            }
        }

    @Example
    fun `the state service is slow, then refuses the leader and then everybody, while users cancel`() =
        scenario(Mutation.ANSWERED_UNINFORMED, "ran_cancelled") {
            script(2 * SECOND) { repeat(8) { submitLong(100 + it, 80 * SECOND) } }
            script(10 * SECOND) { slowState(12 * SECOND) }
            script(24 * SECOND) { refuse(maxOf(leader, 0), 14 * SECOND) }
            script(24 * SECOND + 700 * MILLI) { repeat(5) { cancel("j-${100 + it}", (leader + 1 + it % 2) % 3) } }
            script(25 * SECOND) { outage(52 * SECOND) }
        }

    @Example
    fun `workers reach no controller while orders still reach them`() =
        scenario(Mutation.SHORT_LEASE, "ran_twice") {
            script(2 * SECOND) { repeat(8) { submitLong(100 + it, 40 * SECOND) } }
            every(15, 55, 10) { n -> repeat(3) { blockOutbound((n * 2 + it) % 9, 20 * SECOND) } }
        }

    /**
     * Found on several hundred machines, where more of them change between two acknowledgements than one frame carries: the frame that
     * alone carried a start was lost, a partial frame after it claimed to be complete, and the task was started again.
     */
    @Example
    fun `frames that need several pieces are lost between controllers`() =
        scenario(
            Mutation.PIECES_TAKEN_FOR_WHOLE,
            "ran_twice",
            ClusterProfile(machinesPerZone = 10, teamCores = 200.0, maxMachinesPerFrame = 1),
        ) {
            every(2, 70, 1) { n ->
                load(2, SECOND, first = 100 + 2 * n)
                val leads = maxOf(leader, 0)
                (0..2).filter { it != leads }.forEach { cutControllers(leads, it, 500 * MILLI, held = false) }
            }
        }

    private companion object {
        const val SEEDS = 12L
        const val MAX_SEEDS = 40L
        const val FAULTS_US = 75 * SECOND
        const val CALM_US = 240 * SECOND
    }
}
