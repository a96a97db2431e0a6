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

/** Guards against drains that interrupt more tasks than the disruption budgets of the teams allow. */
class DrainBudgetTest : DrainCoreFixture() {
    @Example
    fun `a budget that changes during a drain applies at once and counts earlier interruptions`() {
        listOf("m1", "m2", "m3", "m4").forEachIndexed { i, name -> cluster.addMachine(name, task(i)) }
        val initialCore = core(DrainPolicy(DisruptionBudget(maxJobs = 2)))
        initialCore.updateDrains(listOf(drain(maxConcurrent = 4)), machines("m1", "m2", "m3", "m4"))
        initialCore.runStep()
        val first = initialCore.runStep().evictedTasks()
        assertEquals(2, first.size) { "$first" }
        first.forEach(cluster::stopTask)
        val tighter = core(DrainPolicy(DisruptionBudget(maxJobs = 1)), initialCore.state)
        tighter.updateDrains(listOf(drain(maxConcurrent = 4)), emptyList())
        repeat(3) { assertTrue(tighter.runStep().evictedTasks().isEmpty()) { "interrupted although two jobs already are" } }
        val looser = core(DrainPolicy(DisruptionBudget(maxJobs = 3)), tighter.state)
        looser.updateDrains(listOf(drain(maxConcurrent = 4)), emptyList())
        assertEquals(1, looser.runStep().evictedTasks().size) { "the larger budget allows exactly one more" }
    }

    @Example
    fun `tasks near their end, of uninterruptible classes or outside the allowed hours are not interrupted`() {
        cluster.addMachine("m1", task(1, remainingS = 10), task(2, jobClass = "invoices"))
        val budget = DisruptionBudget(maxJobs = 5, allowedHours = HourRange(22, 6), uninterruptibleClasses = setOf("invoices"))
        val core = core(DrainPolicy(budget))
        core.updateDrains(listOf(drain()), machines("m1"))
        repeat(3) { assertTrue(core.runStep(hour = 23).evictedTasks().isEmpty()) { "interrupted an exempt task" } }
        cluster.tasks.getValue("m1") += task(3)
        assertTrue(core.runStep(hour = 12).evictedTasks().isEmpty()) { "interrupted outside the allowed hours" }
        assertEquals(listOf(TaskId("j-3", 0)), core.runStep(hour = 23).evictedTasks()) { "not interrupted within the allowed hours" }
    }

    @Example
    fun `a task share applies to running and interrupted tasks and is rounded down`() {
        val tasks = (0 until 10).map { task(1, it) }
        cluster.addMachine("m1", *tasks.toTypedArray())
        val core = core(DrainPolicy(DisruptionBudget(maxTaskShare = 0.25)))
        core.updateDrains(listOf(drain()), machines("m1"))
        core.runStep()
        val first = core.runStep().evictedTasks()
        assertEquals(2, first.size) { "$first" }
        first.forEach(cluster::stopTask)
        assertTrue(core.runStep().evictedTasks().isEmpty()) { "a third task of ten was interrupted" }
        val taskOfSmallTeam = FakeCluster.task(9)
        assertFalse(
            BudgetTracker(
                DrainPolicy(DisruptionBudget(maxTaskShare = 0.25)),
                mapOf("red" to 3),
                0,
                emptyList(),
            ).tryInterrupt(taskOfSmallTeam),
        ) { "one task of three was interrupted" }
    }

    /** Machines run random tasks, and the recorded interruptions must never exceed the budget of any team. */
    @Property(tries = 200, seed = "22")
    fun `no step exceeds a budget`(
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        val teams = listOf("red", "blue")
        val policy =
            DrainPolicy(
                DisruptionBudget(maxJobs = random.nextInt(3)),
                mapOf("blue" to DisruptionBudget(maxTaskShare = random.nextInt(5) / 10.0)),
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
            // The team is part of the job id, because a job belongs to one team.
            cluster.addMachine(
                "m$m",
                *tasks.map { it.copy(taskId = TaskId("${it.taskId.job}-${it.team}", it.taskId.index)) }.toTypedArray(),
            )
        }
        val core = core(policy)
        core.updateDrains(listOf(drain(maxConcurrent = 1 + random.nextInt(6))), machines("m0", "m1", "m2", "m3", "m4", "m5"))
        repeat(40) {
            core.runStep().evictedTasks().forEach { if (random.nextInt(3) > 0) cluster.stopTask(it) }
            val red =
                core.state.interruptions.values
                    .filter { it.team == "red" }
            assertTrue(red.map { it.taskId.job }.distinct().size <= policy.defaultBudget.maxJobs!!) { "seed $seed: $red" }
            val blue =
                core.state.interruptions.values
                    .count { it.team == "blue" }
            val all =
                cluster.tasks.values
                    .flatten()
                    .count { it.team == "blue" } + cluster.waitingTasks.count { it.job.endsWith("blue") }
            assertTrue(blue <= policy.budgetOf("blue").maxTaskShare!! * all + 1e-9) { "seed $seed: $blue of $all" }
            cluster.waitingTasks.toList().filter { random.nextInt(4) == 0 }.forEach { restartedTask ->
                cluster.restartTask(
                    "m${random.nextInt(6)}",
                    PlacedTask(restartedTask, 1, restartedTask.job.substringAfterLast('-'), "batch", true, 90 * SECOND, 0),
                    2 + it.toLong(),
                )
            }
        }
    }
}
