package lichenstage.drain

import lichenstage.drain.FakeCluster.Companion.task
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue

/** Tests of the order in which machines are drained and of the end of drains. */
class DrainOrderTest : DrainCoreFixture() {
    @Example
    fun `idle machines are drained first, then those whose tasks end soonest, then those that lose the least progress`() {
        cluster.addMachine("m1", task(1, remainingS = 300, lostS = 10))
        cluster.addMachine("m2", task(2, remainingS = 300, lostS = 5))
        cluster.addMachine("m3", task(3, remainingS = 30))
        cluster.addMachine("m4")
        val core = core(DrainPolicy(DisruptionBudget(maxJobs = 0)))
        core.updateDrains(listOf(drain()), machines("m1", "m2", "m3", "m4"))
        val order = ArrayList<String>()
        repeat(60) {
            core.runStep()
            for (name in core.cordoned - order.toSet()) order += name
            order.forEach { name ->
                if (core.stageOf(name) == Stage.EMPTIED) cluster.conditions[name] = MachineCondition.GONE else cluster.tasks[name]?.clear()
            }
        }
        assertEquals(listOf("m4", "m3", "m2", "m1"), order) { "$order" }
        assertTrue(core.runStep().none { it is DrainAction.EvictTasks }) { "interrupted without a budget" }
    }

    @Example
    fun `a machine in two drains is drained by the earlier one and counts as gone for the later one`() {
        cluster.addMachine("m1")
        cluster.addMachine("m2", task(1))
        val core = core()
        core.updateDrains(
            listOf(drain("late", requestedAtUs = 2), drain("early", requestedAtUs = 1)),
            machines("m1", drain = "early") + machines("m1", "m2", drain = "late"),
        )
        core.runStep()
        assertTrue(
            core.stageOf("m1", "early") == Stage.CORDONED && core.stageOf("m1", "late") == Stage.WAITING,
        ) { "${core.state.machines}" }
        assertEquals(Stage.CORDONED, core.stageOf("m2", "late")) { "the later drain does not process its other machine" }
        core.runStep()
        cluster.conditions["m1"] = MachineCondition.GONE
        core.runStep()
        assertTrue(core.stageOf("m1", "early") == Stage.GONE && core.stageOf("m1", "late") == Stage.GONE) { "${core.state.machines}" }
        assertTrue(core.runStep().none { it is DrainAction.Finish }) { "finished twice" }
    }

    @Example
    fun `a machine that is lost before it is empty is marked as failed, and its drain finishes once`() {
        cluster.addMachine("m1", task(1, remainingS = 10))
        val core = core()
        core.updateDrains(listOf(drain()), machines("m1"))
        core.runStep()
        cluster.conditions["m1"] = MachineCondition.LOST
        val actions = (1..5).flatMap { core.runStep() }
        assertTrue(core.stageOf("m1") == Stage.FAILED && actions == listOf(DrainAction.Finish("d"))) { "$actions" }
    }

    @Example
    fun `nothing happens while the leader does not know the tasks of every machine`() {
        cluster.addMachine("m1")
        cluster.isComplete = false
        val core = core()
        core.updateDrains(listOf(drain()), machines("m1"))
        assertNull(core.step(nowUs, 0)) { "planned a step with an incomplete view" }
    }
}
