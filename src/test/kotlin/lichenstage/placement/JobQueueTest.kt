package lichenstage.placement

import lichenstage.common.SECOND
import lichenstage.config.Objective
import lichenstage.config.ObjectiveKind
import lichenstage.model.Priority
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertSame
import org.junit.jupiter.api.Assertions.assertTrue

/** Who comes first, and that nobody waits for ever. */
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
     * Twice as much comes as can be done, all of it promised and of higher priority; the largest job of the class without a
     * promise still begins in time. With [agedUs] out of reach it does not: the guard is what does it.
     */
    private fun largestBeginsAfter(agedUs: Long): Long? {
        val queue = JobQueue(serviceObjectives, emptyMap(), RunTimeEstimates(), agedUs)
        val large = job(0, "slow", 400, 0, Priority.LOW)
        val jobs = LinkedHashMap<Int, Job>()
        jobs[0] = large
        queue.jobAdded(large)
        var number = 0
        for (s in 0L..400L) {
            repeat(2) {
                val next = job(++number, "quick", 20, s * SECOND)
                jobs[number] = next
                queue.jobAdded(next)
            }
            // 20 tasks are placed in a second, for the first jobs in the order.
            var free = 20
            for (job in queue.order(jobs.values, { 20.0 }, s * SECOND)) {
                if (job === large) return s * SECOND
                while (free > 0 && job.nextPendingTask() >= 0) free--
                if (free == 0) break
            }
            jobs.values.removeIf { it.pendingTasks.isEmpty }
        }
        return null
    }

    @Example
    fun `the largest job of the least class begins within four minutes under lasting overload`() {
        val began = largestBeginsAfter(120 * SECOND)
        assertTrue(began != null && began < 240 * SECOND) { "began after $began" }
        assertNull(largestBeginsAfter(Long.MAX_VALUE / 4)) { "it would have begun without ageing" }
    }

    @Example
    fun `age comes from the record, so that a new leader lets nobody wait anew`() {
        val queue = JobQueue(serviceObjectives, emptyMap(), RunTimeEstimates())
        val old = job(1, "slow", 5, -200 * SECOND, Priority.LOW)
        val fresh = List(5) { job(2 + it, "quick", 5, 0) }
        (fresh + old).forEach(queue::jobAdded)
        assertSame(old, queue.order(fresh + old, { 1.0 }, 0).first()) { "not first" }
    }
}
