package lichenstage.placement

import lichenstage.common.SECOND
import lichenstage.fleet.MachineHealth
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue

/**
 * Guards against a job that is tried on one faulty machine for good, and against sound machines and rentals that are lost to a job that
 * fails on every machine.
 */
class FailureHistoryTest : LeaderFixture() {
    private val history = FailureHistory()
    private val job = job("j-1", tasks = 1000)
    private val otherJob = job("j-2")

    private fun health(
        machine: String,
        nowUs: Long = 100 * SECOND,
    ) = history.healthOf(machine, nowUs)

    @Example
    fun `a job avoids the machine where it failed for a pause that grows up to a bound and not with each failed task`() {
        var nowUs = 0L
        for (pauseS in listOf(30L, 60L, 60L, 60L)) {
            repeat(50) { history.recordFailure(job, "m1", nowUs) }
            assertEquals(setOf("m1"), history.avoidedMachines(job, nowUs + pauseS * SECOND - 1)) { "pause shorter than $pauseS s" }
            nowUs += pauseS * SECOND
            assertEquals(emptySet<String>(), history.avoidedMachines(job, nowUs)) { "pause longer than $pauseS s" }
        }
        assertEquals(emptySet<String>(), history.avoidedMachines(otherJob, 0)) { "another job avoids the machine too" }
    }

    @Example
    fun `a machine that fails what succeeds elsewhere is defective until a task completes on it`() {
        history.recordFailure(job, "m1", 0)
        assertEquals(MachineHealth.SUSPECT, health("m1"))
        history.recordSuccess(job, "m2", SECOND)
        assertEquals(MachineHealth.DEFECTIVE, health("m1"))
        assertEquals(MachineHealth.SOUND, health("m2"))
        history.recordSuccess(otherJob, "m1", 2 * SECOND)
        assertEquals(MachineHealth.SOUND, health("m1"))
        history.recordSuccess(job, "m2", 3 * SECOND)
        assertEquals(MachineHealth.SOUND, health("m1")) { "an older failure counts again" }
    }

    @Example
    fun `the verdict on a machine stays when the job that completed elsewhere has ended`() {
        history.recordFailure(job, "m1", 0)
        history.recordSuccess(job, "m2", SECOND)
        job.markTaskDone(0)
        history.onJobClosed(job)
        assertEquals(MachineHealth.DEFECTIVE, health("m1"))
    }

    @Example
    fun `a job that fails on every machine makes at most two of them suspect at a time, and is then tried ever more rarely`() {
        val pauses = ArrayList<Long>()
        for (n in 1..10) {
            history.recordFailure(job, "m$n", n * SECOND)
            pauses += history.jobPauseUs(job, n * SECOND)
            val unsound = (1..n).map { "m$it" }.filter { health(it) != MachineHealth.SOUND }
            assertTrue(unsound.size <= 2) { "$unsound are suspect" }
        }
        assertEquals(listOf(0L, 0L, 10L, 20L, 40L, 60L, 60L, 60L, 60L, 60L), pauses.map { it / SECOND })
    }

    /** Guards against mistaken jobs that have sound machines given back together with the tasks of other jobs. */
    @Example
    fun `two jobs that fail on every machine leave the machines sound once they are taken for mistaken`() {
        for (n in 1..3) history.recordFailure(job, "m$n", 0)
        for (n in 1..3) history.recordFailure(otherJob, "m$n", 0)
        for (n in 4..9) listOf(job, otherJob).forEach { history.recordFailure(it, "m$n", n * SECOND) }
        assertEquals(emptyList<String>(), (1..9).map { "m$it" }.filter { health(it) != MachineHealth.SOUND })
        assertEquals(2, history.mistakenJobCount(100 * SECOND))
    }

    @Example
    fun `tasks of two jobs that have failed make a machine faulty, and a cancelled job does not count`() {
        history.recordFailure(job, "m1", 0)
        history.recordFailure(otherJob, "m1", 0)
        assertEquals(MachineHealth.FAULTY, health("m1"))
        assertEquals(1, history.unsoundMachineCount(0))
        history.onJobClosed(otherJob)
        assertEquals(MachineHealth.SUSPECT, health("m1"))
        history.onJobClosed(job)
        assertEquals(MachineHealth.SOUND, health("m1"))
    }

    /** Guards against a sound job that met three faulty machines and would never cause another machine to be provisioned. */
    @Example
    fun `failures are forgotten after ten minutes, and a completed task shows that the job is not mistaken`() {
        for (n in 1..3) history.recordFailure(job, "m$n", 0)
        history.recordFailure(job, "m3", 601 * SECOND)
        assertEquals(MachineHealth.SUSPECT, health("m3", 601 * SECOND))
        for (n in 1..3) history.recordFailure(otherJob, "m$n", 601 * SECOND)
        assertEquals(1, history.mistakenJobCount(602 * SECOND))
        history.recordSuccess(otherJob, "m4", 602 * SECOND)
        assertEquals(0, history.mistakenJobCount(602 * SECOND))
        assertFalse(health("m1", 602 * SECOND) == MachineHealth.SOUND) { "m1 fails what succeeds on m4" }
    }

    @Example
    fun `a terminated machine is avoided no longer but still counts against the job`() {
        for (n in 1..3) {
            history.recordFailure(job, "m$n", 0)
            history.onMachineTerminated("m$n")
        }
        assertEquals(emptySet<String>(), history.avoidedMachines(job, 0))
        assertEquals(1, history.mistakenJobCount(0))
        history.recordSuccess(job, "m4", SECOND)
        assertEquals(0, history.unsoundMachineCount(SECOND))
    }
}
