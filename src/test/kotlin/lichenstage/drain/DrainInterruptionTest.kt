package lichenstage.drain

import kotlinx.collections.immutable.toPersistentMap
import lichenstage.common.SECOND
import lichenstage.drain.FakeCluster.Companion.task
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue

/** Guards against tasks that are stopped before their interruption is recorded, and against interruptions that no budget counts. */
class DrainInterruptionTest : DrainCoreFixture() {
    @Example
    fun `an interruption is recorded before its task is stopped, and a failed write stops nothing`() {
        cluster.addMachine("m1", task(1))
        val core = core()
        core.updateDrains(listOf(drain()), machines("m1"))
        core.runStep()
        nowUs += 3 * SECOND
        val next = core.step(nowUs, 12)!!
        assertTrue(TaskId("j-1", 0) in next.interruptions && core.state.interruptions.isEmpty()) { "$next" }
        assertNull(core.step(nowUs, 12)) { "planned a step while another is being recorded" }
        assertTrue(core.onStateRecorded(false).isEmpty() && core.state.interruptions.isEmpty()) { "acted without a record" }
        assertEquals(listOf(TaskId("j-1", 0)), core.runStep().evictedTasks()) { "the interruption was not retried" }
    }

    @Example
    fun `a failed task uses up the budget until it runs again`() {
        cluster.addMachine("m1", task(1))
        cluster.addMachine("m2", task(2))
        val core = core()
        core.updateDrains(listOf(drain(maxConcurrent = 2)), machines("m1", "m2"))
        val failed = task(3)
        cluster.addMachine("m3", failed)
        cluster.stopTask(failed.taskId)
        core.onTaskStopped(Interruption(failed.taskId, failed.attemptNumber, "red", InterruptionCause.FAILURE, nowUs))
        repeat(3) { assertTrue(core.runStep().evictedTasks().isEmpty()) { "interrupted in addition to a failed job" } }
        cluster.restartTask("m3", failed, 2)
        core.runStep()
        val first = core.runStep().evictedTasks()
        assertEquals(1, first.size) { "$first" }
        cluster.stopTask(first.single())
        repeat(3) { assertTrue(core.runStep().evictedTasks().isEmpty()) { "a second job was interrupted" } }
        assertEquals(first.toSet(), core.state.interruptions.keys) { "${core.state.interruptions}" }
    }

    /**
     * A zone of a few hundred machines loses thousands of tasks at once, more than the records can hold. An earlier version remembered at
     * most 2,000 of them, so drains interrupted more tasks while the forgotten ones were still waiting.
     */
    @Example
    fun `nothing is interrupted while any of thousands of lost tasks is waiting`() {
        cluster.addMachine("m1", task(1))
        val core = core()
        core.updateDrains(listOf(drain()), machines("m1"))
        val failed = List(2_500) { task(2 + it) }
        failed.forEach { cluster.waitingTasks += it.taskId }
        failed.forEach { core.onTaskStopped(Interruption(it.taskId, it.attemptNumber, "red", InterruptionCause.FAILURE, nowUs)) }
        repeat(3) { assertTrue(core.runStep().evictedTasks().isEmpty()) { "interrupted while all lost tasks wait" } }
        cluster.waitingTasks.retainAll(setOf(failed.last().taskId))
        repeat(5) { assertTrue(core.runStep().evictedTasks().isEmpty()) { "interrupted while the last lost task waits" } }
        cluster.waitingTasks.clear()
        val first = (1..3).flatMap { core.runStep().evictedTasks() }
        assertEquals(setOf(TaskId("j-1", 0)), first.toSet()) { "interrupted $first after all lost tasks ended" }
    }

    @Example
    fun `a new leader counts a recorded interruption and stops its task again`() {
        cluster.addMachine("m1", task(1))
        cluster.addMachine("m2", task(2))
        val before = core()
        before.updateDrains(listOf(drain(maxConcurrent = 2)), machines("m1", "m2"))
        before.runStep()
        nowUs += 3 * SECOND
        val interruptedTask =
            before
                .step(nowUs, 12)!!
                .interruptions.keys
                .single()
        val next = DrainState(before.state.machines, before.state.interruptions)
        val recorded = next.copy(interruptions = mapOf(interruptedTask to interruptionOf(interruptedTask)).toPersistentMap())
        val core = core(state = recorded)
        core.updateDrains(listOf(drain(maxConcurrent = 2)), emptyList())
        assertEquals(listOf(interruptedTask), core.runStep().evictedTasks()) { "not stopped again, or another task stopped too" }
    }

    private fun interruptionOf(task: TaskId) = Interruption(task, 1, "red", InterruptionCause.DRAIN, nowUs)
}
