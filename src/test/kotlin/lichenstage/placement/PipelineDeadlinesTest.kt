package lichenstage.placement

import lichenstage.common.SECOND
import lichenstage.model.Priority
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull

class PipelineDeadlinesTest {
    private val serviceObjectives = ServiceObjectives(emptyList())
    private val dependents = HashMap<Job, List<Job>>()
    private val pipelineDeadlines = PipelineDeadlines(serviceObjectives, RunTimeEstimates()) { dependents[it].orEmpty() }

    private fun job(
        number: Int,
        runS: Long,
        dueS: Long? = null,
        priority: Priority = Priority.LOW,
    ) = Job(oneCoreSpec(number, "c", priority, 2, runS * SECOND).copy(deadlineAfterUs = dueS?.let { it * SECOND }), number.toLong(), 0)

    @Example
    fun `a job inherits a due time along the longest chain and the highest priority of its dependents`() {
        val first = job(1, 10)
        val thumbnails = job(2, 25)
        val drafts = job(3, 60)
        val last = job(4, 8, dueS = 200, priority = Priority.HIGH)
        dependents[first] = listOf(thumbnails, drafts)
        dependents[thumbnails] = listOf(last)
        dependents[drafts] = listOf(last)
        val snapshot = pipelineDeadlines.Snapshot()
        assertEquals(InheritedPriority(null, Priority.HIGH), snapshot.inheritedPriorityOf(last)) {
            "${snapshot.inheritedPriorityOf(last)}"
        }
        assertEquals(InheritedPriority((200 - 8 - 4) * SECOND, Priority.HIGH), snapshot.inheritedPriorityOf(drafts)) {
            "${snapshot.inheritedPriorityOf(drafts)}"
        }
        assertEquals(InheritedPriority((200 - 8 - 4 - 60 - 4) * SECOND, Priority.HIGH), snapshot.inheritedPriorityOf(first)) {
            "${snapshot.inheritedPriorityOf(first)}"
        }
    }

    @Example
    fun `a chain of 20000 jobs is computed without recursion, and each job only once`() {
        val jobs = List(20_000) { job(it, 1, dueS = if (it == 19_999) 100 else null) }
        jobs.zipWithNext { a, b -> dependents[a] = listOf(b) }
        assertNotNull(pipelineDeadlines.Snapshot().inheritedPriorityOf(jobs[0]).dueAtUs) { "the deadline of the last job is not inherited" }
    }

    @Example
    fun `a first stage of low priority is placed before a job with a later due time`() {
        val first = job(1, 10)
        val last = job(2, 8, dueS = 60, priority = Priority.HIGH)
        dependents[first] = listOf(last)
        val laterJob = job(3, 10, dueS = 400, priority = Priority.HIGH)
        val queue = JobQueue(serviceObjectives, emptyMap(), RunTimeEstimates(), pipelineDeadlines = pipelineDeadlines)
        listOf(laterJob, first).forEach {
            it.enqueueTasks()
            queue.onJobAdded(it)
        }
        assertEquals(listOf(first, laterJob), queue.sortWaitingJobs(listOf(laterJob, first), { 2.0 }, SECOND)) { "due time not inherited" }
    }
}
