package lichenstage.placement

import lichenstage.model.Priority

/**
 * The priority and the due time that a job inherits from its direct and indirect dependents.
 *
 * @property dueAtUs time by which the job should be complete to meet the tightest deadline of the dependents; null if none has a deadline
 * @property priority highest priority of the job and its dependents
 */
data class InheritedPriority(
    val dueAtUs: Long?,
    val priority: Priority,
)

/**
 * Priority inheritance in pipelines of jobs, computed backwards from the last job.
 *
 * Users set a deadline and a priority only on the last job of a pipeline. The earlier jobs inherit the highest priority of their
 * dependents, and a due time that leaves enough time for the longest chain of dependents.
 */
class PipelineDeadlines(
    private val serviceObjectives: ServiceObjectives,
    private val runTimes: RunTimeEstimates,
    private val dependentsOf: (Job) -> List<Job>,
) {
    /** The inherited priorities for the current state of the jobs. The result of each job is computed once and shared. */
    inner class Snapshot {
        // The graph has no cycles, because a job depends only on jobs that were accepted before it.
        private val inheritedByJob = GraphFold({ job -> dependentsOf(job).filter { it.phase == JobPhase.OPEN } }, ::inherit)

        /** Returns the priority and the due time that the job inherits. */
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
