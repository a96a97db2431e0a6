package lichenstage.placement

import lichenstage.cluster.MachineState
import lichenstage.cluster.SaveOrder
import lichenstage.cluster.TaskPhase
import lichenstage.common.SECOND
import lichenstage.model.Priority
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

/** Which attempts are told to save a checkpoint and stop before their machine is terminated, and when. */
class CheckpointPreemptionTest {
    private val preemption = CheckpointPreemption(RunTimeEstimates())

    private fun job(
        runS: Long,
        checkpointS: Long = 20,
    ) = Job(
        oneCoreSpec(1, "c", Priority.STANDARD, 4, runS * SECOND).copy(
            checkpointIntervalUs = checkpointS * SECOND,
            checkpointSaveUs =
                4 * SECOND,
        ),
        1,
        0,
    )

    private fun running(
        job: Job,
        sinceS: Long,
        index: Int = 0,
    ) = Attempt(job, index, 10L + index, "m", "z/0").apply {
        phase = TaskPhase.RUNNING
        firstRunningAtUs = sinceS * SECOND
    }

    private fun notice(
        leftS: Long,
        nowS: Long,
    ) = preemption.onMachineUpdate(
        MachineState("m", "1.2.3.4:5", "t", true, true, false, false, false, leftS * SECOND, emptyList()),
        nowS * SECOND,
    )

    private fun saveCommands(
        nowS: Long,
        vararg attempts: Attempt,
    ) = preemption.saveCommands("m", attempts.toList(), isDrained = false, nowS * SECOND)

    @Example
    fun `on a machine drained by an operator, only requested attempts are stopped, even if they cannot save a checkpoint`() {
        val long = running(job(runS = 120), sinceS = 1)
        val unsaved = running(job(runS = 120, checkpointS = 0), sinceS = 1, index = 1)

        fun drained(nowS: Long) = preemption.saveCommands("m", listOf(long, unsaved), isDrained = true, nowS * SECOND)
        assertTrue(drained(40).isEmpty()) { "stopped outside the disruption budget of its team" }
        preemption.requestStop(listOf(unsaved))
        assertTrue("m" in preemption.affectedMachines) { "the machine is not among the affected machines" }
        assertEquals(listOf(SaveOrder("m", "j-1/1", 11, 0)), drained(41)) { "${drained(44)}" }
        assertEquals(0L, unsaved.saveCommandedAtUs) { "its progress would wrongly count as saved" }
        preemption.requestStop(listOf(long))
        assertTrue(drained(42).map { it.attempt } == listOf(10L) && long.saveCommandedAtUs > 0) { "not stopped, or without time to save" }
        preemption.onAttemptEnded(unsaved)
        preemption.onAttemptEnded(long)
        assertTrue(drained(60).isEmpty() && "m" !in preemption.affectedMachines) { "a command was sent after the attempt had ended" }
    }

    @Example
    fun `after a reclaim notice, a task runs as long as it can still save, and the command is repeated`() {
        val attempt = running(job(runS = 60), sinceS = 1)
        notice(leftS = 20, nowS = 10)
        assertTrue(saveCommands(15, attempt).isEmpty()) { "stopped with 15 s left" }
        val order = SaveOrder("m", "j-1/0", 10, 5 * SECOND)
        assertEquals(listOf(order), saveCommands(21, attempt)) { "not stopped with 9 s left" }
        assertTrue(saveCommands(22, attempt).isEmpty()) { "repeated after 1 s" }
        assertEquals(listOf(order), saveCommands(24, attempt)) { "not repeated after 3 s" }
        attempt.phase = TaskPhase.SAVING
        assertTrue(saveCommands(25, attempt).isEmpty()) { "stopped again while it saves" }
    }

    @Example
    fun `a repeated reclaim notice does not extend the deadline`() {
        val attempt = running(job(runS = 60), sinceS = 1)
        notice(leftS = 20, nowS = 10)
        notice(leftS = 20, nowS = 14)
        assertTrue(saveCommands(21, attempt).isNotEmpty()) { "the repeated notice moved the deadline" }
    }

    @Example
    fun `a task that ends before the reclaim, cannot save or has no time left to save is not stopped`() {
        notice(leftS = 20, nowS = 10)
        assertTrue(saveCommands(21, running(job(runS = 24), sinceS = 1)).isEmpty()) { "stopped although it ends in 4 s" }
        assertTrue(saveCommands(21, running(job(runS = 60, checkpointS = 0), sinceS = 1)).isEmpty()) { "stopped although it cannot save" }
        assertTrue(saveCommands(26, running(job(runS = 60), sinceS = 1)).isEmpty()) { "stopped with 4 s left, although saving takes 4 s" }
        val fetching = running(job(runS = 60), sinceS = 1).apply { phase = TaskPhase.FETCHING }
        assertTrue(saveCommands(21, fetching).isEmpty()) { "stopped while fetching, with nothing to save" }
    }

    @Example
    fun `a machine in scale-in is emptied only when all its tasks are long and can save`() {
        val long = running(job(runS = 120), sinceS = 1)
        assertTrue(saveCommands(20, long).isEmpty()) { "stopped so early that its start does not count for the objectives" }
        assertTrue(
            saveCommands(40, long, running(job(runS = 120, checkpointS = 0), sinceS = 1, index = 1)).isEmpty(),
        ) { "stopped although the other task cannot save" }
        assertTrue(
            saveCommands(40, long, running(job(runS = 50), sinceS = 1, index = 1)).isEmpty(),
        ) { "stopped although the other task ends soon" }
        assertEquals(listOf(10L), saveCommands(40, long).map { it.attempt }) { "not stopped" }
    }

    @Example
    fun `saved progress counts until the task is done`() {
        val job = job(runS = 60)
        job.recordSavedProgress(0, 30 * SECOND)
        job.recordSavedProgress(0, 20 * SECOND)
        job.recordSavedProgress(1, 5 * SECOND)
        assertEquals(35 * SECOND, job.totalSavedProgressUs) { "${job.totalSavedProgressUs}" }
        assertEquals(
            35 * SECOND,
            running(job, sinceS = 10).progressUs(15 * SECOND),
        ) { "the attempt does not continue from the saved progress" }
        job.markTaskDone(0)
        assertEquals(5 * SECOND, job.totalSavedProgressUs) { "${job.totalSavedProgressUs}" }
        job.recordSavedProgress(0, 50 * SECOND)
        assertEquals(5 * SECOND, job.totalSavedProgressUs) { "a done task still has saved progress" }
    }
}
