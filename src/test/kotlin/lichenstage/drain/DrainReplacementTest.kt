package lichenstage.drain

import lichenstage.drain.FakeCluster.Companion.task
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

/** Machines that are replaced before they are emptied. */
class DrainReplacementTest : DrainCoreFixture() {
    @Example
    fun `a machine is emptied only once another has taken its place and completed a start`() {
        cluster.addMachine("m1", task(1))
        val core = core()
        core.updateDrains(listOf(drain(replace = true)), machines("m1"))
        assertEquals(listOf(DrainAction.ProvisionReplacement(DrainKey("d", "m1"))), core.runStep()) { "no machine asked for" }
        repeat(5) { assertTrue(core.runStep().isEmpty() && core.cordoned.isEmpty()) { "asked twice, or cordoned" } }
        core.onReplacementProvisioned(DrainKey("d", "m1"), "n1")
        core.runStep()
        assertTrue(core.onProbation == setOf("n1") && core.surplusReplacements == setOf("n1")) { "${core.onProbation}" }
        cluster.addMachine("n1")
        core.runStep()
        assertTrue(core.cordoned.isEmpty()) { "cordoned before the other has started anything" }
        cluster.tasks.getValue("n1") += task(2)
        core.runStep()
        assertTrue(core.cordoned == setOf("m1") && core.onProbation.isEmpty()) { "${core.cordoned}" }
        assertEquals(listOf(TaskId("j-1", 0)), core.runStep().evictedTasks()) { "not emptied" }
        cluster.stopTask(TaskId("j-1", 0))
        assertTrue(DrainAction.Terminate("m1") in core.runStep()) { "not given back" }
        cluster.conditions["m1"] = MachineCondition.GONE
        core.runStep()
        assertEquals(Stage.REPLACED, core.stageOf("m1")) { "${core.stageOf("m1")}" }
    }

    @Example
    fun `replacements that fail are given back and asked for with a growing pause, and then the drain pauses by itself`() {
        cluster.addMachine("m1", task(1))
        val core = core(DrainPolicy(maxReplacementFailures = 3))
        core.updateDrains(listOf(drain(replace = true)), machines("m1"))
        val requestTimesUs = ArrayList<Long>()
        var pause: DrainAction.Pause? = null
        repeat(1_000) {
            for (action in core.runStep()) {
                if (action is DrainAction.ProvisionReplacement) {
                    requestTimesUs += nowUs
                    core.onReplacementProvisioned(action.key, "n${requestTimesUs.size}")
                    cluster.addMachine("n${requestTimesUs.size}")
                    cluster.faultyMachines += "n${requestTimesUs.size}"
                }
                if (action is DrainAction.Terminate) assertTrue(action.machine.startsWith("n")) { "$action" }
                if (action is DrainAction.Pause && pause == null) pause = action
            }
            pause?.let { core.updateDrains(listOf(drain(replace = true, status = DrainStatus.PAUSED)), emptyList()) }
        }
        assertTrue(requestTimesUs.size == 3 && requestTimesUs[2] - requestTimesUs[1] > requestTimesUs[1] - requestTimesUs[0]) {
            "asked at $requestTimesUs"
        }
        assertEquals(true, pause?.reason?.contains("n3")) { "$pause" }
        assertTrue(core.cordoned.isEmpty() && core.onProbation.isEmpty()) { "goes on although it is paused" }
    }

    @Example
    fun `one that never comes up counts as failed, and a refused hire is waited for`() {
        cluster.addMachine("m1", task(1))
        val core = core()
        core.updateDrains(listOf(drain(replace = true)), machines("m1"))
        core.runStep()
        repeat(150) { assertTrue(core.runStep().isEmpty()) { "did something without a machine" } }
        core.onReplacementProvisioned(DrainKey("d", "m1"), "n1")
        core.runStep()
        val actions = (1..150).flatMap { core.runStep() }
        assertTrue(
            actions.first() == DrainAction.Terminate("n1") && actions.count { it is DrainAction.ProvisionReplacement } == 1,
        ) { "$actions" }
    }
}
