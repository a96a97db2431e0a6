package lichenstage.placement

import lichenstage.cluster.CheckpointStopCommand
import lichenstage.cluster.MachineState
import lichenstage.cluster.TaskPhase
import lichenstage.common.SECOND
import lichenstage.model.Priority
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

/** Tests which attempts are told to save a checkpoint and stop before their machine is terminated, and when. */
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

    private fun runningAttempt(
        job: Job,
        sinceS: Long,
        index: Int = 0,
    ) = Attempt(job, index, 10L + index, "m", "z/0").apply {
        phase = TaskPhase.RUNNING
        startedRunningAtUs = sinceS * SECOND
    }

    private fun receiveReclaimNotice(
        timeLeftS: Long,
        nowS: Long,
    ) = preemption.onMachineUpdate(
        MachineState("m", "1.2.3.4:5", "t", true, true, false, false, false, timeLeftS * SECOND, emptyList()),
        nowS * SECOND,
    )

    private fun takeDueCheckpointStops(
        nowS: Long,
        vararg attempts: Attempt,
    ) = preemption.takeDueCheckpointStops("m", attempts.toList(), isDrained = false, nowS * SECOND)

    @Example
    fun `on a machine drained by an operator, only requested attempts are stopped, even if they cannot save a checkpoint`() {
        val longAttempt = runningAttempt(job(runS = 120), sinceS = 1)
        val attemptWithoutCheckpoints = runningAttempt(job(runS = 120, checkpointS = 0), sinceS = 1, index = 1)

        fun commandsForDrainedMachine(nowS: Long) =
            preemption.takeDueCheckpointStops(
                "m",
                listOf(longAttempt, attemptWithoutCheckpoints),
                isDrained = true,
                nowS * SECOND,
            )
        assertTrue(commandsForDrainedMachine(40).isEmpty()) { "stopped outside the disruption budget of its team" }
        preemption.requestStops(listOf(attemptWithoutCheckpoints))
        assertTrue("m" in preemption.affectedMachines) { "the machine is not among the affected machines" }
        assertEquals(
            listOf(CheckpointStopCommand("m", "j-1/1", 11, 0)),
            commandsForDrainedMachine(41),
        ) { "${commandsForDrainedMachine(44)}" }
        assertEquals(0L, attemptWithoutCheckpoints.checkpointStopAtUs) { "its progress would wrongly count as saved" }
        preemption.requestStops(listOf(longAttempt))
        assertTrue(
            commandsForDrainedMachine(42).map {
                it.attemptNumber
            } == listOf(10L) && longAttempt.checkpointStopAtUs > 0,
        ) { "not stopped, or without time to save" }
        preemption.onAttemptEnded(attemptWithoutCheckpoints)
        preemption.onAttemptEnded(longAttempt)
        assertTrue(commandsForDrainedMachine(60).isEmpty() && "m" !in preemption.affectedMachines) {
            "a command was sent after the attempt had ended"
        }
    }

    @Example
    fun `after a reclaim notice, a task runs as long as it can still save, and the command is repeated`() {
        val attempt = runningAttempt(job(runS = 60), sinceS = 1)
        receiveReclaimNotice(timeLeftS = 20, nowS = 10)
        assertTrue(takeDueCheckpointStops(15, attempt).isEmpty()) { "stopped with 15 s left" }
        val command = CheckpointStopCommand("m", "j-1/0", 10, 5 * SECOND)
        assertEquals(listOf(command), takeDueCheckpointStops(21, attempt)) { "not stopped with 9 s left" }
        assertTrue(takeDueCheckpointStops(22, attempt).isEmpty()) { "repeated after 1 s" }
        assertEquals(listOf(command), takeDueCheckpointStops(24, attempt)) { "not repeated after 3 s" }
        attempt.phase = TaskPhase.SAVING
        assertTrue(takeDueCheckpointStops(25, attempt).isEmpty()) { "stopped again while it saves" }
    }

    @Example
    fun `a repeated reclaim notice does not extend the deadline`() {
        val attempt = runningAttempt(job(runS = 60), sinceS = 1)
        receiveReclaimNotice(timeLeftS = 20, nowS = 10)
        receiveReclaimNotice(timeLeftS = 20, nowS = 14)
        assertTrue(takeDueCheckpointStops(21, attempt).isNotEmpty()) { "the repeated notice moved the deadline" }
    }

    @Example
    fun `a task that ends before the reclaim, cannot save or has no time left to save is not stopped`() {
        receiveReclaimNotice(timeLeftS = 20, nowS = 10)
        assertTrue(takeDueCheckpointStops(21, runningAttempt(job(runS = 24), sinceS = 1)).isEmpty()) { "stopped although it ends in 4 s" }
        assertTrue(
            takeDueCheckpointStops(21, runningAttempt(job(runS = 60, checkpointS = 0), sinceS = 1)).isEmpty(),
        ) { "stopped although it cannot save" }
        assertTrue(
            takeDueCheckpointStops(26, runningAttempt(job(runS = 60), sinceS = 1)).isEmpty(),
        ) { "stopped with 4 s left, although saving takes 4 s" }
        val fetching = runningAttempt(job(runS = 60), sinceS = 1).apply { phase = TaskPhase.FETCHING }
        assertTrue(takeDueCheckpointStops(21, fetching).isEmpty()) { "stopped while fetching, with nothing to save" }
    }

    @Example
    fun `a machine in scale-in is emptied only when all its tasks are long and can save`() {
        val longAttempt = runningAttempt(job(runS = 120), sinceS = 1)
        assertTrue(
            takeDueCheckpointStops(20, longAttempt).isEmpty(),
        ) { "stopped so early that its start does not count for the objectives" }
        assertTrue(
            takeDueCheckpointStops(40, longAttempt, runningAttempt(job(runS = 120, checkpointS = 0), sinceS = 1, index = 1)).isEmpty(),
        ) { "stopped although the other task cannot save" }
        assertTrue(
            takeDueCheckpointStops(40, longAttempt, runningAttempt(job(runS = 50), sinceS = 1, index = 1)).isEmpty(),
        ) { "stopped although the other task ends soon" }
        assertEquals(listOf(10L), takeDueCheckpointStops(40, longAttempt).map { it.attemptNumber }) { "not stopped" }
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
            runningAttempt(job, sinceS = 10).progressUs(15 * SECOND),
        ) { "the attempt does not continue from the saved progress" }
        job.markTaskDone(0)
        assertEquals(5 * SECOND, job.totalSavedProgressUs) { "${job.totalSavedProgressUs}" }
        job.recordSavedProgress(0, 50 * SECOND)
        assertEquals(5 * SECOND, job.totalSavedProgressUs) { "a done task still has saved progress" }
    }
}
