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
        val older = job("j-1", createRevision = 100)
        val fresh = job("j-2", createRevision = 101)
        listOf(older, fresh).forEach {
            assertTrue(table.add(it)) { "${it.spec.id} was known" }
            table.enqueueIfPlaceable(it)
        }
        assertFalse(older.isPlaceable) { "an earlier leader may have started it" }
        assertEquals(2, fresh.pendingTasks.size) { "not queued" }
    }

    @Example
    fun `when the failover completes then all ready jobs are queued, and none twice`() {
        val older = job("j-1", createRevision = 50)
        val fresh = job("j-2", createRevision = 101)
        listOf(older, fresh).forEach(table::add)
        table.enqueueIfPlaceable(fresh)
        fresh.nextPendingTask()
        failoverComplete = true
        table.enqueueAllReady()
        assertEquals(2, older.pendingTasks.size) { "not queued" }
        assertEquals(1, fresh.pendingTasks.size) { "queued again" }
    }

    @Example
    fun `a job that has open dependencies is not queued`() {
        failoverComplete = true
        val blocked = Job(spec("j-2").copy(dependencies = listOf("j-1")), 101, 0)
        table.add(blocked)
        table.enqueueIfPlaceable(blocked)
        table.enqueueAllReady()
        assertTrue(blocked.pendingTasks.isEmpty && !blocked.isPlaceable) { "queued" }
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
