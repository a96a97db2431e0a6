package lichenstage.drain

import kotlinx.collections.immutable.toPersistentMap
import lichenstage.common.SECOND
import lichenstage.drain.FakeCluster.Companion.task
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue

/** Interruptions are recorded before tasks are stopped, and all that is interrupted counts. */
class DrainInterruptionTest : DrainCoreFixture() {
    @Example
    fun `an interruption is recorded before its task is stopped, and nothing is done where that fails`() {
        cluster.addMachine("m1", task(1))
        val core = core()
        core.updateDrains(listOf(drain()), machines("m1"))
        core.runStep()
        nowUs += 3 * SECOND
        val next = core.step(nowUs, 12)!!
        assertTrue(TaskId("j-1", 0) in next.interruptions && core.state.interruptions.isEmpty()) { "$next" }
        assertNull(core.step(nowUs, 12)) { "a step while one is being recorded" }
        assertTrue(core.onStateRecorded(false).isEmpty() && core.state.interruptions.isEmpty()) { "done without a record" }
        assertEquals(listOf(TaskId("j-1", 0)), core.runStep().evictedTasks()) { "not tried again" }
    }

    @Example
    fun `what fails by itself uses up the budget, and its return frees it`() {
        cluster.addMachine("m1", task(1))
        cluster.addMachine("m2", task(2))
        val core = core()
        core.updateDrains(listOf(drain(maxConcurrent = 2)), machines("m1", "m2"))
        val failed = task(3)
        cluster.addMachine("m3", failed)
        cluster.stopTask(failed.task)
        core.onTaskLost(Interruption(failed.task, failed.attempt, "red", InterruptionCause.FAILURE, nowUs))
        repeat(3) { assertTrue(core.runStep().evictedTasks().isEmpty()) { "beside a job that failed" } }
        cluster.restartTask("m3", failed, 2)
        core.runStep()
        val first = core.runStep().evictedTasks()
        assertEquals(1, first.size) { "$first" }
        cluster.stopTask(first.single())
        repeat(3) { assertTrue(core.runStep().evictedTasks().isEmpty()) { "a second job" } }
        assertEquals(first.toSet(), core.state.interruptions.keys) { "${core.state.interruptions}" }
    }

    /** A zone of some hundred machines loses thousands of tasks at once, more than were remembered, and more than can be recorded. */
    @Example
    fun `nothing is interrupted while any of thousands of lost tasks waits`() {
        cluster.addMachine("m1", task(1))
        val core = core()
        core.updateDrains(listOf(drain()), machines("m1"))
        val failed = List(2_500) { task(2 + it) }
        failed.forEach { cluster.waitingTasks += it.task }
        failed.forEach { core.onTaskLost(Interruption(it.task, it.attempt, "red", InterruptionCause.FAILURE, nowUs)) }
        repeat(3) { assertTrue(core.runStep().evictedTasks().isEmpty()) { "beside all of them" } }
        cluster.waitingTasks.retainAll(setOf(failed.last().task))
        repeat(5) { assertTrue(core.runStep().evictedTasks().isEmpty()) { "beside the last of them" } }
        cluster.waitingTasks.clear()
        val first = (1..3).flatMap { core.runStep().evictedTasks() }
        assertEquals(setOf(TaskId("j-1", 0)), first.toSet()) { "$first once all run again" }
    }

    @Example
    fun `a new leader counts what the one before it announced, and stops it again`() {
        cluster.addMachine("m1", task(1))
        cluster.addMachine("m2", task(2))
        val before = core()
        before.updateDrains(listOf(drain(maxConcurrent = 2)), machines("m1", "m2"))
        before.runStep()
        nowUs += 3 * SECOND
        val announced =
            before
                .step(nowUs, 12)!!
                .interruptions.keys
                .single()
        val next = DrainState(before.state.machines, before.state.interruptions)
        val recorded = next.copy(interruptions = mapOf(announced to row(announced)).toPersistentMap())
        val core = core(state = recorded)
        core.updateDrains(listOf(drain(maxConcurrent = 2)), emptyList())
        assertEquals(listOf(announced), core.runStep().evictedTasks()) { "not stopped again, or another one besides" }
    }

    private fun row(task: TaskId) = Interruption(task, 1, "red", InterruptionCause.DRAIN, nowUs)
}
