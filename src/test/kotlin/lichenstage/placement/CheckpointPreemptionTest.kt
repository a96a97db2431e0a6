package lichenstage.placement

import lichenstage.cluster.MachineState
import lichenstage.cluster.SaveOrder
import lichenstage.cluster.TaskPhase
import lichenstage.common.SECOND
import lichenstage.model.Priority
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

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
    fun `on a machine that an operator drains only what was requested is stopped, also where it can't save`() {
        val long = running(job(runS = 120), sinceS = 1)
        val unsaved = running(job(runS = 120, checkpointS = 0), sinceS = 1, index = 1)

        fun drained(nowS: Long) = preemption.saveCommands("m", listOf(long, unsaved), isDrained = true, nowS * SECOND)
        assertTrue(drained(40).isEmpty()) { "stopped beside the budget of its team" }
        preemption.requestStop(listOf(unsaved))
        assertTrue("m" in preemption.affectedMachines) { "nobody would ask" }
        assertEquals(listOf(SaveOrder("m", "j-1/1", 11, 0)), drained(41)) { "${drained(44)}" }
        assertEquals(0L, unsaved.saveCommandedAtUs) { "its progress would count as saved" }
        preemption.requestStop(listOf(long))
        assertTrue(drained(42).map { it.attempt } == listOf(10L) && long.saveCommandedAtUs > 0) { "not stopped with time to save" }
        preemption.onAttemptEnded(unsaved)
        preemption.onAttemptEnded(long)
        assertTrue(drained(60).isEmpty() && "m" !in preemption.affectedMachines) { "ordered after its end" }
    }

    @Example
    fun `after a notice a task runs on for as long as it can still save, and the order is repeated`() {
        val attempt = running(job(runS = 60), sinceS = 1)
        notice(leftS = 20, nowS = 10)
        assertTrue(saveCommands(15, attempt).isEmpty()) { "stopped with 15 s left" }
        val order = SaveOrder("m", "j-1/0", 10, 5 * SECOND)
        assertEquals(listOf(order), saveCommands(21, attempt)) { "not stopped with 9 s left" }
        assertTrue(saveCommands(22, attempt).isEmpty()) { "repeated at once" }
        assertEquals(listOf(order), saveCommands(24, attempt)) { "not repeated" }
        attempt.phase = TaskPhase.SAVING
        assertTrue(saveCommands(25, attempt).isEmpty()) { "stopped while it saves" }
    }

    @Example
    fun `a notice that is told again later does not give more time`() {
        val attempt = running(job(runS = 60), sinceS = 1)
        notice(leftS = 20, nowS = 10)
        notice(leftS = 20, nowS = 14)
        assertTrue(saveCommands(21, attempt).isNotEmpty()) { "the notice was taken for a later one" }
    }

    @Example
    fun `a task that ends by itself before, one that can't save and one with no time to save are left alone`() {
        notice(leftS = 20, nowS = 10)
        assertTrue(saveCommands(21, running(job(runS = 24), sinceS = 1)).isEmpty()) { "it ends in 4 s" }
        assertTrue(saveCommands(21, running(job(runS = 60, checkpointS = 0), sinceS = 1)).isEmpty()) { "it can't save" }
        assertTrue(saveCommands(26, running(job(runS = 60), sinceS = 1)).isEmpty()) { "4 s are too few for 4 s of saving" }
        val fetching = running(job(runS = 60), sinceS = 1).apply { phase = TaskPhase.FETCHING }
        assertTrue(saveCommands(21, fetching).isEmpty()) { "it has nothing to save" }
    }

    @Example
    fun `a draining machine is emptied only where nothing but long tasks that can save is left`() {
        val long = running(job(runS = 120), sinceS = 1)
        assertTrue(saveCommands(20, long).isEmpty()) { "its start would not count" }
        assertTrue(
            saveCommands(40, long, running(job(runS = 120, checkpointS = 0), sinceS = 1, index = 1)).isEmpty(),
        ) { "the other holds it" }
        assertTrue(saveCommands(40, long, running(job(runS = 50), sinceS = 1, index = 1)).isEmpty()) { "the other ends soon" }
        assertEquals(listOf(10L), saveCommands(40, long).map { it.attempt }) { "not moved" }
    }

    @Example
    fun `progress that was saved counts as done until the task is`() {
        val job = job(runS = 60)
        job.recordSavedProgress(0, 30 * SECOND)
        job.recordSavedProgress(0, 20 * SECOND)
        job.recordSavedProgress(1, 5 * SECOND)
        assertEquals(35 * SECOND, job.totalSavedProgressUs) { "${job.totalSavedProgressUs}" }
        assertEquals(35 * SECOND, running(job, sinceS = 10).progressUs(15 * SECOND)) { "an attempt goes on from there" }
        job.markTaskDone(0)
        assertEquals(5 * SECOND, job.totalSavedProgressUs) { "${job.totalSavedProgressUs}" }
        job.recordSavedProgress(0, 50 * SECOND)
        assertEquals(5 * SECOND, job.totalSavedProgressUs) { "what is done has nothing saved" }
    }
}
