package lichenstage.drain

import lichenstage.common.SECOND
import lichenstage.drain.FakeCluster.Companion.task
import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import java.util.Random

/** Disruption budgets of teams. */
class DrainBudgetTest : DrainCoreFixture() {
    @Example
    fun `a budget that is changed while a drain goes on holds from then on, for what is interrupted already too`() {
        listOf("m1", "m2", "m3", "m4").forEachIndexed { i, name -> cluster.machine(name, task(i)) }
        val before = core(DrainPolicy(DisruptionBudget(jobs = 2)))
        before.updateDrains(listOf(drain(maxConcurrent = 4)), machines("m1", "m2", "m3", "m4"))
        before.go()
        val first = before.go().interrupted()
        assertEquals(2, first.size) { "$first" }
        first.forEach(cluster::stop)
        val tighter = core(DrainPolicy(DisruptionBudget(jobs = 1)), before.state)
        tighter.updateDrains(listOf(drain(maxConcurrent = 4)), emptyList())
        repeat(3) { assertTrue(tighter.go().interrupted().isEmpty()) { "beside two" } }
        val looser = core(DrainPolicy(DisruptionBudget(jobs = 3)), tighter.state)
        looser.updateDrains(listOf(drain(maxConcurrent = 4)), emptyList())
        assertEquals(1, looser.go().interrupted().size) { "not one more" }
    }

    @Example
    fun `tasks near their end, of classes that are never interrupted, and out of hours are waited for`() {
        cluster.machine("m1", task(1, remainingS = 10), task(2, jobClass = "invoices"))
        val budget = DisruptionBudget(jobs = 5, hours = Hours(22, 6), neverClasses = setOf("invoices"))
        val core = core(DrainPolicy(budget))
        core.updateDrains(listOf(drain()), machines("m1"))
        repeat(3) { assertTrue(core.go(hour = 23).interrupted().isEmpty()) { "interrupted" } }
        cluster.tasks.getValue("m1") += task(3)
        assertTrue(core.go(hour = 12).interrupted().isEmpty()) { "out of hours" }
        assertEquals(listOf(TaskId("j-3", 0)), core.go(hour = 23).interrupted()) { "not within hours" }
    }

    @Example
    fun `a share is of what runs and is interrupted, rounded down`() {
        val tasks = (0 until 10).map { task(1, it) }
        cluster.machine("m1", *tasks.toTypedArray())
        val core = core(DrainPolicy(DisruptionBudget(share = 0.25)))
        core.updateDrains(listOf(drain()), machines("m1"))
        core.go()
        val first = core.go().interrupted()
        assertEquals(2, first.size) { "$first" }
        first.forEach(cluster::stop)
        assertTrue(core.go().interrupted().isEmpty()) { "a third of ten" }
        val small = FakeCluster.task(9)
        assertFalse(
            BudgetCheck(DrainPolicy(DisruptionBudget(share = 0.25)), mapOf("red" to 3), 0, emptyList()).take(small),
        ) { "one of three" }
    }

    /** Whatever runs where, never more is interrupted than all budgets allow together. */
    @Property(tries = 200, seed = "22")
    fun `no plan goes over a budget`(
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        val teams = listOf("red", "blue")
        val policy =
            DrainPolicy(
                DisruptionBudget(jobs = random.nextInt(3)),
                mapOf("blue" to DisruptionBudget(share = random.nextInt(5) / 10.0)),
            )
        repeat(6) { m ->
            val tasks =
                List(random.nextInt(6)) {
                    task(
                        random.nextInt(5),
                        m * 10 + it,
                        teams[random.nextInt(2)],
                        20 + random.nextInt(200).toLong(),
                    )
                }
            // A job has one team.
            cluster.machine("m$m", *tasks.map { it.copy(task = TaskId("${it.task.job}-${it.team}", it.task.index)) }.toTypedArray())
        }
        val core = core(policy)
        core.updateDrains(listOf(drain(maxConcurrent = 1 + random.nextInt(6))), machines("m0", "m1", "m2", "m3", "m4", "m5"))
        repeat(40) {
            core.go().interrupted().forEach { if (random.nextInt(3) > 0) cluster.stop(it) }
            val red =
                core.state.interruptions.values
                    .filter { it.team == "red" }
            assertTrue(red.map { it.task.job }.distinct().size <= policy.default.jobs!!) { "seed $seed: $red" }
            val blue =
                core.state.interruptions.values
                    .count { it.team == "blue" }
            val all =
                cluster.tasks.values
                    .flatten()
                    .count { it.team == "blue" } + cluster.waiting.count { it.job.endsWith("blue") }
            assertTrue(blue <= policy.of("blue").share!! * all + 1e-9) { "seed $seed: $blue of $all" }
            cluster.waiting.toList().filter { random.nextInt(4) == 0 }.forEach { back ->
                cluster.restart(
                    "m${random.nextInt(6)}",
                    RunningTask(back, 1, back.job.substringAfterLast('-'), "batch", true, 90 * SECOND, 0),
                    2 + it.toLong(),
                )
            }
        }
    }
}
