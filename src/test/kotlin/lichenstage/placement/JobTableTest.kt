package lichenstage.placement

import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue

/** When the tasks of jobs may be placed, and how long a job is kept (invariant 5). */
class JobTableTest : LeaderFixture() {
    private var failoverComplete = false
    private val table = JobTable(leaderKeyRevision = 100) { failoverComplete }

    @Example
    fun `when the failover is not complete then only jobs of this term are queued`() {
        val earlierTermJob = job("j-1", createRevision = 100)
        val currentTermJob = job("j-2", createRevision = 101)
        listOf(earlierTermJob, currentTermJob).forEach {
            assertTrue(table.add(it)) { "${it.spec.id} was known" }
            table.enqueueIfPlaceable(it)
        }
        assertFalse(earlierTermJob.isPlaceable) { "an earlier leader may have started it" }
        assertEquals(2, currentTermJob.pendingTasks.size) { "not queued" }
    }

    @Example
    fun `when the failover completes then all ready jobs are queued, and none twice`() {
        val earlierTermJob = job("j-1", createRevision = 50)
        val currentTermJob = job("j-2", createRevision = 101)
        listOf(earlierTermJob, currentTermJob).forEach(table::add)
        table.enqueueIfPlaceable(currentTermJob)
        currentTermJob.nextPendingTask()
        failoverComplete = true
        table.enqueueAllReady()
        assertEquals(2, earlierTermJob.pendingTasks.size) { "not queued" }
        assertEquals(1, currentTermJob.pendingTasks.size) { "queued again" }
    }

    @Example
    fun `a job that has open dependencies is not queued`() {
        failoverComplete = true
        val blockedJob = Job(spec("j-2").copy(dependencies = listOf("j-1")), 101, 0)
        table.add(blockedJob)
        table.enqueueIfPlaceable(blockedJob)
        table.enqueueAllReady()
        assertTrue(blockedJob.pendingTasks.isEmpty && !blockedJob.isPlaceable) { "queued" }
    }

    @Example
    fun `a closed job is kept as long as an attempt may be running`() {
        val job = job("j-1")
        table.add(job)
        job.liveAttempts.put(0, Attempt(job, 0, 1, "m1", "z/0"))
        job.phase = JobPhase.CLOSED
        table.removeIfClosed(job)
        assertTrue("j-1" in table.byId) { "forgotten while it may be running" }
        job.liveAttempts.clear()
        table.removeIfClosed(job)
        assertTrue(table.byId.isEmpty()) { "kept" }
    }
}
