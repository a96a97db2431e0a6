package lichenstage.drain

import lichenstage.drain.FakeCluster.Companion.task
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

/** Machines that are replaced before they are emptied. */
class DrainReplacementTest : DrainCoreFixture() {
    @Example
    fun `a machine is emptied only once another has taken its place and completed a start`() {
        cluster.machine("m1", task(1))
        val core = core()
        core.updateDrains(listOf(drain(replace = true)), machines("m1"))
        assertEquals(listOf(DrainAction.ProvisionReplacement(DrainKey("d", "m1"))), core.go()) { "no machine asked for" }
        repeat(5) { assertTrue(core.go().isEmpty() && core.cordoned.isEmpty()) { "asked twice, or cordoned" } }
        core.replacementProvisioned(DrainKey("d", "m1"), "n1")
        core.go()
        assertTrue(core.onProbation == setOf("n1") && core.surplusReplacements == setOf("n1")) { "${core.onProbation}" }
        cluster.machine("n1")
        core.go()
        assertTrue(core.cordoned.isEmpty()) { "cordoned before the other has started anything" }
        cluster.tasks.getValue("n1") += task(2)
        core.go()
        assertTrue(core.cordoned == setOf("m1") && core.onProbation.isEmpty()) { "${core.cordoned}" }
        assertEquals(listOf(TaskId("j-1", 0)), core.go().interrupted()) { "not emptied" }
        cluster.stop(TaskId("j-1", 0))
        assertTrue(DrainAction.Terminate("m1") in core.go()) { "not given back" }
        cluster.conditions["m1"] = MachineCondition.GONE
        core.go()
        assertEquals(Stage.REPLACED, core.stage("m1")) { "${core.stage("m1")}" }
    }

    @Example
    fun `replacements that fail are given back and asked for with a growing pause, and then the drain pauses by itself`() {
        cluster.machine("m1", task(1))
        val core = core(DrainPolicy(replacementFailures = 3))
        core.updateDrains(listOf(drain(replace = true)), machines("m1"))
        val asked = ArrayList<Long>()
        var pause: DrainAction.Pause? = null
        repeat(1_000) {
            for (act in core.go()) {
                if (act is DrainAction.ProvisionReplacement) {
                    asked += nowUs
                    core.replacementProvisioned(act.key, "n${asked.size}")
                    cluster.machine("n${asked.size}")
                    cluster.faulty += "n${asked.size}"
                }
                if (act is DrainAction.Terminate) assertTrue(act.machine.startsWith("n")) { "$act" }
                if (act is DrainAction.Pause && pause == null) pause = act
            }
            pause?.let { core.updateDrains(listOf(drain(replace = true, status = DrainStatus.PAUSED)), emptyList()) }
        }
        assertTrue(asked.size == 3 && asked[2] - asked[1] > asked[1] - asked[0]) { "asked at $asked" }
        assertEquals(true, pause?.reason?.contains("n3")) { "$pause" }
        assertTrue(core.cordoned.isEmpty() && core.onProbation.isEmpty()) { "goes on although it is paused" }
    }

    @Example
    fun `one that never comes up counts as failed, and a refused hire is waited for`() {
        cluster.machine("m1", task(1))
        val core = core()
        core.updateDrains(listOf(drain(replace = true)), machines("m1"))
        core.go()
        repeat(150) { assertTrue(core.go().isEmpty()) { "did something without a machine" } }
        core.replacementProvisioned(DrainKey("d", "m1"), "n1")
        core.go()
        val actions = (1..150).flatMap { core.go() }
        assertTrue(
            actions.first() == DrainAction.Terminate("n1") && actions.count { it is DrainAction.ProvisionReplacement } == 1,
        ) { "$actions" }
    }
}
