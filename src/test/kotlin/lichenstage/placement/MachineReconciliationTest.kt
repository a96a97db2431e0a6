package lichenstage.placement

import lichenstage.cluster.TaskPhase
import lichenstage.cluster.TaskState
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue

/** What a machine has to stop and to clear, by its task list. */
class MachineReconciliationTest : LeaderFixture() {
    private val job = job("j-1")
    private val jobs = mapOf("j-1" to job)

    private fun track(
        index: Int,
        number: Long,
    ) = job.liveAttempts.put(index, Attempt(job, index, number, "m1", "z/0"))

    @Example
    fun `an attempt that is tracked on its machine is left alone`() {
        track(0, 3)
        val result = MachineReconciliation.of(machineState("m1", TaskState("j-1/0", 3, TaskPhase.RUNNING)), jobs)
        assertTrue(result.stops.isEmpty() && result.clears.isEmpty() && !result.hasUnaccountedTasks) { "$result" }
    }

    @Example
    fun `an attempt of a closed job is stopped but counts for its team`() {
        track(0, 3)
        job.phase = JobPhase.CLOSED
        val result = MachineReconciliation.of(machineState("m1", TaskState("j-1/0", 3, TaskPhase.RUNNING)), jobs)
        assertEquals(listOf(3L), result.stops.map { it.attempt })
        assertFalse(result.hasUnaccountedTasks) { "it counts for its job" }
    }

    @Example
    fun `what is not tracked is stopped and unaccounted for`() {
        track(0, 4)
        val others = arrayOf(TaskState("j-1/0", 3, TaskPhase.RUNNING), TaskState("j-9/0", 1, TaskPhase.RUNNING))
        val result = MachineReconciliation.of(machineState("m1", *others), jobs)
        assertEquals(listOf(3L, 1L), result.stops.map { it.attempt })
        assertTrue(result.hasUnaccountedTasks) { "counts for nobody" }
    }

    @Example
    fun `a done task is cleared only once it is recorded (invariant 9)`() {
        val machine = machineState("m1", TaskState("j-1/0", 3, TaskPhase.ENDED, "done"))
        job.markTaskDone(0)
        assertTrue(MachineReconciliation.of(machine, jobs).clears.isEmpty()) { "cleared before it is recorded" }
        job.recordedTasks.set(0)
        assertEquals(listOf(3L), MachineReconciliation.of(machine, jobs).clears.map { it.attempt })
    }

    @Example
    fun `a machine that has not shown the fencing token gets no orders, and what runs there is unaccounted for`() {
        val result = MachineReconciliation.of(machineState("m1", TaskState("j-9/0", 1, TaskPhase.RUNNING), tokenConfirmed = false), jobs)
        assertTrue(result.stops.isEmpty() && result.clears.isEmpty() && result.hasUnaccountedTasks) { "$result" }
    }

    @Example
    fun `a lost machine gets no orders and runs nothing`() {
        val result = MachineReconciliation.of(machineState("m1", TaskState("j-9/0", 1, TaskPhase.RUNNING), lost = true), jobs)
        assertTrue(result.stops.isEmpty() && result.clears.isEmpty() && !result.hasUnaccountedTasks) { "$result" }
    }
}
