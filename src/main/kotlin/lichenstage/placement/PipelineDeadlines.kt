package lichenstage.placement

import lichenstage.model.Priority

/**
 * The priority and due time that a job inherits from its dependents, direct and indirect.
 *
 * @property dueAtUs when it should be complete for the tightest of their deadlines; null where none has a deadline
 * @property priority the highest of its own and theirs
 */
data class InheritedPriority(
    val dueAtUs: Long?,
    val priority: Priority,
)

/**
 * Priority inheritance in pipelines, computed backwards from their end. Users set a deadline, and the priority that they care about, on
 * the last job only: a job inherits the highest priority of its dependents, and should be complete early enough for the longest chain of
 * them.
 */
class PipelineDeadlines(
    private val serviceObjectives: ServiceObjectives,
    private val runTimes: RunTimeEstimates,
    private val dependentsOf: (Job) -> List<Job>,
) {
    /** The jobs as they are now: what several jobs share is computed once. */
    inner class Snapshot {
        // A job depends only on jobs that were accepted before it, so that there is no cycle.
        private val inheritedByJob = GraphFold({ job -> dependentsOf(job).filter { it.phase == JobPhase.OPEN } }, ::inherit)

        /** What the job inherits. */
        fun inheritedPriorityOf(job: Job): InheritedPriority = inheritedByJob.valueOf(job)

        private fun inherit(
            job: Job,
            dependents: List<Job>,
            inheritedBy: Map<Job, InheritedPriority>,
        ): InheritedPriority {
            val dueTimesAtUs =
                dependents.mapNotNull { dependent ->
                    val deadlineAtUs = serviceObjectives.deadlineAtUs(dependent)
                    val inheritedDueAtUs = inheritedBy.getValue(dependent).dueAtUs
                    listOfNotNull(deadlineAtUs, inheritedDueAtUs).minOrNull()?.let {
                        it - runTimes.expectedRunTimeUs(dependent.spec) -
                            ReadinessForecast.STAGE_TRANSITION_US
                    }
                }
            val priorities = dependents.map { inheritedBy.getValue(it).priority }
            return InheritedPriority(dueTimesAtUs.minOrNull(), maxOf(job.spec.priority, priorities.maxOrNull() ?: job.spec.priority))
        }
    }
}
