package lichenstage.placement

import lichenstage.model.Priority

/** What a job has from those that wait for it. [dueUs]: when it should be complete for their sake. */
data class InheritedPriority(
    val dueUs: Long?,
    val priority: Priority,
)

/**
 * Plans pipelines backwards from their end. Users set a deadline, and the priority that they care about, on the last job only: a job
 * has the priority of the most urgent that waits for it, and should be done early enough for the longest chain behind it.
 */
class PipelineDeadlines(
    private val serviceObjectives: ServiceObjectives,
    private val runTimes: RunTimeEstimates,
    private val dependentsOf: (Job) -> List<Job>,
) {
    /** For one plan: what many share is worked out once. */
    inner class Snapshot {
        // Jobs wait only for such as were accepted before, so that the chains have an end.
        private val fold = GraphFold({ job -> dependentsOf(job).filter { it.phase == JobPhase.OPEN } }, ::from)

        /** What the job has from those that wait for it, directly or through others. */
        fun of(job: Job): InheritedPriority = fold.of(job)

        private fun from(
            job: Job,
            waiters: List<Job>,
            known: Map<Job, InheritedPriority>,
        ): InheritedPriority {
            val due =
                waiters.mapNotNull { waiter ->
                    val own = serviceObjectives.deadlineUs(waiter)
                    val inherited = known.getValue(waiter).dueUs
                    listOfNotNull(own, inherited).minOrNull()?.let { it - runTimes.expectedUs(waiter.spec) - ReadinessForecast.STAGE_US }
                }
            val priorities = waiters.map { known.getValue(it).priority }
            return InheritedPriority(due.minOrNull(), maxOf(job.spec.priority, priorities.maxOrNull() ?: job.spec.priority))
        }
    }
}
