package lichenstage.placement

import lichenstage.cluster.TaskPhase
import lichenstage.cluster.TaskState
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue

/** Tests which stops and clears a machine needs according to its task list, and when it has unaccounted tasks. */
class MachineReconciliationTest : LeaderFixture() {
    private val job = job("j-1")
    private val jobs = mapOf("j-1" to job)

    private fun track(
        index: Int,
        number: Long,
    ) = job.liveAttempts.put(index, Attempt(job, index, number, "m1", "z/0"))

    @Example
    fun `an attempt that is tracked on its machine is neither stopped nor cleared`() {
        track(0, 3)
        val result = MachineReconciliation.of(machineState("m1", TaskState("j-1/0", 3, TaskPhase.RUNNING)), jobs)
        assertTrue(result.stops.isEmpty() && result.clears.isEmpty() && !result.hasUnaccountedTasks) { "$result" }
    }

    @Example
    fun `an attempt of a closed job is stopped and still counts for its team`() {
        track(0, 3)
        job.phase = JobPhase.CLOSED
        val result = MachineReconciliation.of(machineState("m1", TaskState("j-1/0", 3, TaskPhase.RUNNING)), jobs)
        assertEquals(listOf(3L), result.stops.map { it.attemptNumber })
        assertFalse(result.hasUnaccountedTasks) { "a tracked attempt is unaccounted for" }
    }

    @Example
    fun `an attempt that is not tracked is stopped and unaccounted for`() {
        track(0, 4)
        val untrackedTasks = arrayOf(TaskState("j-1/0", 3, TaskPhase.RUNNING), TaskState("j-9/0", 1, TaskPhase.RUNNING))
        val result = MachineReconciliation.of(machineState("m1", *untrackedTasks), jobs)
        assertEquals(listOf(3L, 1L), result.stops.map { it.attemptNumber })
        assertTrue(result.hasUnaccountedTasks) { "untracked attempts are not reported as unaccounted for" }
    }

    @Example
    fun `a done task is cleared only after it is recorded (invariant 9)`() {
        val machine = machineState("m1", TaskState("j-1/0", 3, TaskPhase.ENDED, "done"))
        job.markTaskDone(0)
        assertTrue(MachineReconciliation.of(machine, jobs).clears.isEmpty()) { "cleared before the task was recorded" }
        job.recordedTasks.set(0)
        assertEquals(listOf(3L), MachineReconciliation.of(machine, jobs).clears.map { it.attemptNumber })
    }

    @Example
    fun `a machine without a confirmed fencing token gets no commands, and its tasks are unaccounted for`() {
        val result = MachineReconciliation.of(machineState("m1", TaskState("j-9/0", 1, TaskPhase.RUNNING), isTokenConfirmed = false), jobs)
        assertTrue(result.stops.isEmpty() && result.clears.isEmpty() && result.hasUnaccountedTasks) { "$result" }
    }

    @Example
    fun `a lost machine gets no commands and has no unaccounted tasks`() {
        val result = MachineReconciliation.of(machineState("m1", TaskState("j-9/0", 1, TaskPhase.RUNNING), isLost = true), jobs)
        assertTrue(result.stops.isEmpty() && result.clears.isEmpty() && !result.hasUnaccountedTasks) { "$result" }
    }
}
