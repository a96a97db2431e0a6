package lichenstage.placement

import lichenstage.common.SECOND
import lichenstage.config.Objective
import lichenstage.config.ObjectiveKind
import lichenstage.model.Priority
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertSame
import org.junit.jupiter.api.Assertions.assertTrue

/** Tests which job comes first, and that no job waits forever. */
class JobQueueTest {
    private val serviceObjectives = ServiceObjectives(listOf(Objective(ObjectiveKind.WAIT, "quick", 2 * SECOND)))

    private fun job(
        number: Int,
        jobClass: String,
        tasks: Int,
        submittedAtUs: Long,
        priority: Priority = Priority.HIGH,
    ) = Job(oneCoreSpec(number, jobClass, priority, tasks), number.toLong(), submittedAtUs).apply { enqueueTasks() }

    /**
     * Returns the time in microseconds at which the largest job, which has no objective, starts under lasting overload. Null if it never
     * starts.
     *
     * Twice as many tasks arrive as can be placed. All of them have an objective and a higher priority. If [agingThresholdUs] is
     * never reached, the largest job never starts, which shows that it starts because of ageing.
     */
    private fun largestJobStartUs(agingThresholdUs: Long): Long? {
        val queue = JobQueue(serviceObjectives, emptyMap(), RunTimeEstimates(), agingThresholdUs)
        val largeJob = job(0, "slow", 400, 0, Priority.LOW)
        val jobs = LinkedHashMap<Int, Job>()
        jobs[0] = largeJob
        queue.onJobAdded(largeJob)
        var number = 0
        for (s in 0L..400L) {
            repeat(2) {
                val quickJob = job(++number, "quick", 20, s * SECOND)
                jobs[number] = quickJob
                queue.onJobAdded(quickJob)
            }
            // 20 tasks are placed per second, in queue order.
            var freeSlots = 20
            for (job in queue.sortWaitingJobs(jobs.values, { 20.0 }, s * SECOND)) {
                if (job === largeJob) return s * SECOND
                while (freeSlots > 0 && job.nextPendingTask() >= 0) freeSlots--
                if (freeSlots == 0) break
            }
            jobs.values.removeIf { it.pendingTasks.isEmpty }
        }
        return null
    }

    @Example
    fun `under lasting overload, the largest job of the lowest priority starts within four minutes`() {
        val startUs = largestJobStartUs(120 * SECOND)
        assertTrue(startUs != null && startUs < 240 * SECOND) { "startUs=$startUs" }
        assertNull(largestJobStartUs(Long.MAX_VALUE / 4)) { "the job starts without ageing" }
    }

    @Example
    fun `the age of a job counts from its recorded submission, also under a new leader`() {
        val queue = JobQueue(serviceObjectives, emptyMap(), RunTimeEstimates())
        val oldJob = job(1, "slow", 5, -200 * SECOND, Priority.LOW)
        val newJobs = List(5) { job(2 + it, "quick", 5, 0) }
        (newJobs + oldJob).forEach(queue::onJobAdded)
        assertSame(oldJob, queue.sortWaitingJobs(newJobs + oldJob, { 1.0 }, 0).first()) { "the oldest job is not first" }
    }
}
