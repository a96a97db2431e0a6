package lichenstage.drain

import lichenstage.drain.FakeCluster.Companion.task
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

/** Tests of drains that replace each machine before they drain it. */
class DrainReplacementTest : DrainCoreFixture() {
    @Example
    fun `a machine is drained only after its replacement runs a task`() {
        cluster.addMachine("m1", task(1))
        val core = core()
        core.updateDrains(listOf(drain(shouldReplace = true)), machines("m1"))
        assertEquals(listOf(DrainAction.ProvisionReplacement(DrainKey("d", "m1"))), core.runStep()) { "no replacement requested" }
        repeat(5) { assertTrue(core.runStep().isEmpty() && core.cordoned.isEmpty()) { "requested twice, or cordoned early" } }
        core.onReplacementProvisioned(DrainKey("d", "m1"), "n1")
        core.runStep()
        assertTrue(core.onProbation == setOf("n1") && core.surplusReplacements == setOf("n1")) { "${core.onProbation}" }
        cluster.addMachine("n1")
        core.runStep()
        assertTrue(core.cordoned.isEmpty()) { "cordoned before the replacement runs a task" }
        cluster.tasks.getValue("n1") += task(2)
        core.runStep()
        assertTrue(core.cordoned == setOf("m1") && core.onProbation.isEmpty()) { "${core.cordoned}" }
        assertEquals(listOf(TaskId("j-1", 0)), core.runStep().evictedTasks()) { "the task was not interrupted" }
        cluster.stopTask(TaskId("j-1", 0))
        assertTrue(DrainAction.Terminate("m1") in core.runStep()) { "not terminated" }
        cluster.conditions["m1"] = MachineCondition.GONE
        core.runStep()
        assertEquals(Stage.REPLACED, core.stageOf("m1")) { "${core.stageOf("m1")}" }
    }

    @Example
    fun `failed replacements are terminated and requested again with growing delays until the drain pauses itself`() {
        cluster.addMachine("m1", task(1))
        val core = core(DrainPolicy(maxReplacementFailures = 3))
        core.updateDrains(listOf(drain(shouldReplace = true)), machines("m1"))
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
            pause?.let { core.updateDrains(listOf(drain(shouldReplace = true, status = DrainStatus.PAUSED)), emptyList()) }
        }
        assertTrue(requestTimesUs.size == 3 && requestTimesUs[2] - requestTimesUs[1] > requestTimesUs[1] - requestTimesUs[0]) {
            "requested at $requestTimesUs"
        }
        assertEquals(true, pause?.reason?.contains("n3")) { "$pause" }
        assertTrue(core.cordoned.isEmpty() && core.onProbation.isEmpty()) { "continues although it is paused" }
    }

    @Example
    fun `a replacement that never starts counts as failed, and the drain waits for a delayed provision`() {
        cluster.addMachine("m1", task(1))
        val core = core()
        core.updateDrains(listOf(drain(shouldReplace = true)), machines("m1"))
        core.runStep()
        repeat(150) { assertTrue(core.runStep().isEmpty()) { "acted before the replacement was provisioned" } }
        core.onReplacementProvisioned(DrainKey("d", "m1"), "n1")
        core.runStep()
        val actions = (1..150).flatMap { core.runStep() }
        assertTrue(
            actions.first() == DrainAction.Terminate("n1") && actions.count { it is DrainAction.ProvisionReplacement } == 1,
        ) { "$actions" }
    }
}
