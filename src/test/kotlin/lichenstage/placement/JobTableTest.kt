package lichenstage.placement

import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue

/** Tests when the tasks of jobs may be placed, and how long a job is kept (invariant 5). */
class JobTableTest : LeaderFixture() {
    private var isFailoverComplete = false
    private val table = JobTable(leaderKeyRevision = 100) { isFailoverComplete }

    @Example
    fun `before the failover is complete, only jobs of this term are queued`() {
        val earlierTermJob = job("j-1", createRevision = 100)
        val currentTermJob = job("j-2", createRevision = 101)
        listOf(earlierTermJob, currentTermJob).forEach {
            assertTrue(table.add(it)) { "${it.spec.id} is already in the table" }
            table.enqueueIfPlaceable(it)
        }
        assertFalse(earlierTermJob.isPlaceable) { "an earlier leader may have started it" }
        assertEquals(2, currentTermJob.pendingTasks.size) { "the job of this term is not queued" }
    }

    @Example
    fun `when the failover completes, all ready jobs are queued, and none of them twice`() {
        val earlierTermJob = job("j-1", createRevision = 50)
        val currentTermJob = job("j-2", createRevision = 101)
        listOf(earlierTermJob, currentTermJob).forEach(table::add)
        table.enqueueIfPlaceable(currentTermJob)
        currentTermJob.nextPendingTask()
        isFailoverComplete = true
        table.enqueueAllReady()
        assertEquals(2, earlierTermJob.pendingTasks.size) { "the job of an earlier term is not queued" }
        assertEquals(1, currentTermJob.pendingTasks.size) { "a placed task is queued again" }
    }

    @Example
    fun `a job with open dependencies is not queued`() {
        isFailoverComplete = true
        val blockedJob = Job(spec("j-2").copy(dependencies = listOf("j-1")), 101, 0)
        table.add(blockedJob)
        table.enqueueIfPlaceable(blockedJob)
        table.enqueueAllReady()
        assertTrue(blockedJob.pendingTasks.isEmpty && !blockedJob.isPlaceable) { "the blocked job is queued" }
    }

    @Example
    fun `a closed job is kept while an attempt may be running`() {
        val job = job("j-1")
        table.add(job)
        job.liveAttempts.put(0, Attempt(job, 0, 1, "m1", "z/0"))
        job.phase = JobPhase.CLOSED
        table.removeIfClosed(job)
        assertTrue("j-1" in table.byId) { "removed while an attempt may be running" }
        job.liveAttempts.clear()
        table.removeIfClosed(job)
        assertTrue(table.byId.isEmpty()) { "not removed after its last attempt" }
    }
}
