package lichenstage.placement

import lichenstage.app.SECOND
import lichenstage.jobs.Priority

/** What a job has from those that wait for it. */
data class FromWaiters(
    val dueUs: Long?,
    val priority: Priority,
)

/**
 * Plans pipelines backwards from their end. Users set a deadline, and the priority that they care about, on the last job only: a job
 * has the priority of the most urgent that waits for it, and should be done early enough for the longest chain behind it.
 */
class Chains(
    private val goals: Goals,
    private val runTimes: RunTimes,
    private val waitersOf: (Job) -> List<Job>,
) {
    /** For one plan: what many share is worked out once. */
    inner class Plan {
        private val known = HashMap<Job, FromWaiters>()

        /** [dueUs]: when the job should be complete for the sake of what waits for it, directly or through others. */
        fun of(job: Job): FromWaiters {
            known[job]?.let { return it }
            // Jobs wait only for such as were accepted before, so that the chains have an end; they may be deep, so no recursion.
            val stack = ArrayDeque(listOf(job))
            while (stack.isNotEmpty()) {
                val next = stack.last()
                val waiters = waitersOf(next).filter { it.phase == JobPhase.OPEN }
                val missing = waiters.filter { it !in known }
                if (missing.isEmpty()) {
                    known[next] = from(next, waiters)
                    stack.removeLast()
                } else {
                    stack += missing
                }
            }
            return known.getValue(job)
        }

        private fun from(
            job: Job,
            waiters: List<Job>,
        ): FromWaiters {
            val due =
                waiters.mapNotNull { waiter ->
                    val own = goals.deadlineUs(waiter)
                    val inherited = known.getValue(waiter).dueUs
                    listOfNotNull(own, inherited).minOrNull()?.let { it - runTimes.expectedUs(waiter.spec) - STAGE_US }
                }
            val priorities = waiters.map { known.getValue(it).priority }
            return FromWaiters(due.minOrNull(), maxOf(job.spec.priority, priorities.maxOrNull() ?: job.spec.priority))
        }
    }

    private companion object {
        /** From the end of one stage until the tasks of the next run: its record, a round of requests, an image. */
        const val STAGE_US = 4 * SECOND
    }
}
