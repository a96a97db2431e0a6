package lichenstage.placement

import lichenstage.model.Priority
import java.util.PriorityQueue

/**
 * A service objective of a waiting job, in the form that [ObjectiveOrder] uses.
 *
 * @property dueAtUs time on the steady clock by which all work of the job must be done to meet the objective
 * @property value value of meeting the objective; the unit is one average job of the job's class
 */
data class PlannedObjective(
    val dueAtUs: Long,
    val value: Double,
)

/**
 * A waiting job, in the form that [ObjectiveOrder] uses.
 *
 * @property remainingWork remaining work in core microseconds
 * @property objectives objectives that can still be met, the earliest first
 * @property runUs expected run time of one task
 * @property priority priority of the job, or a higher one that it inherits from a dependent
 */
class QueuedJob(
    val job: Job,
    val remainingWork: Double,
    val objectives: List<PlannedObjective>,
    val runUs: Long,
    val priority: Priority = job.spec.priority,
) {
    private var objectiveIndex = 0
    private val currentObjective get() = objectives[objectiveIndex]

    /** The time by which the work must be done to meet the current objective. */
    val dueAtUs get() = currentObjective.dueAtUs

    /** The value of meeting the current objective per unit of work. */
    val valuePerWork get() = currentObjective.value / remainingWork

    /** Plans the job for its next objective. Returns false if no objective is left. */
    fun advanceToNextObjective(): Boolean = ++objectiveIndex < objectives.size
}

/**
 * The sort order of waiting jobs that meets as many service objectives as the machines allow.
 *
 * The algorithm follows Moore and Hodgson. It schedules the jobs by due time. Whenever a job would be late, the algorithm takes out one of
 * the jobs that are scheduled so far: of those with the lowest priority, the one with the least value per unit of work. The job that is
 * taken out is postponed to its next objective.
 *
 * A deadline counts once per job, so large jobs have the least value per unit of work. A start objective counts per task, so a large job
 * is not at a disadvantage. Jobs without an objective left come last, by priority and then by descending run time of a task, so that all
 * jobs finish early.
 */
object ObjectiveOrder {
    /**
     * Returns all [waitingJobs] in the order of placement.
     *
     * @param capacityCores number of cores that run tasks, which is the work that the machines do per microsecond
     */
    fun sort(
        waitingJobs: List<QueuedJob>,
        capacityCores: Double,
        nowUs: Long,
    ): List<Job> {
        val withoutObjective = waitingJobs.filterTo(ArrayList()) { it.objectives.isEmpty() }
        var plannedJobs = waitingJobs.filter { it.objectives.isNotEmpty() }
        var rounds = 0
        while (rounds++ < MAX_ROUNDS) {
            val postponedJobs = selectJobsToPostpone(plannedJobs.sortedBy { it.dueAtUs }, capacityCores, nowUs)
            if (postponedJobs.isEmpty()) break
            val withoutNextObjective = postponedJobs.filter { !it.advanceToNextObjective() }.toSet()
            withoutObjective += withoutNextObjective
            plannedJobs = plannedJobs.filter { it !in withoutNextObjective }
        }
        return (plannedJobs.sortedWith(BY_DUE_TIME) + withoutObjective.sortedWith(BY_PRIORITY_AND_RUN_TIME)).map { it.job }
    }

    /** Returns the jobs to postpone when the machines process [plannedJobs], which are sorted by due time. */
    private fun selectJobsToPostpone(
        plannedJobs: List<QueuedJob>,
        capacityCores: Double,
        nowUs: Long,
    ): List<QueuedJob> {
        val postponedJobs = ArrayList<QueuedJob>()
        val scheduledJobs = PriorityQueue(BY_PRIORITY_AND_VALUE)
        var scheduledWork = 0.0
        for (queuedJob in plannedJobs) {
            scheduledJobs += queuedJob
            scheduledWork += queuedJob.remainingWork
            while (scheduledJobs.isNotEmpty() && nowUs + scheduledWork / capacityCores > queuedJob.dueAtUs) {
                val leastValuableJob = scheduledJobs.poll()
                scheduledWork -= leastValuableJob.remainingWork
                postponedJobs += leastValuableJob
                if (leastValuableJob === queuedJob) break
            }
        }
        return postponedJobs
    }

    private val BY_DUE_TIME = compareBy<QueuedJob> { it.dueAtUs }.thenBy { it.job.createRevision }
    private val BY_PRIORITY_AND_RUN_TIME =
        compareByDescending<QueuedJob> { it.priority }.thenByDescending { it.runUs }.thenBy { it.job.createRevision }
    private val BY_PRIORITY_AND_VALUE = compareBy<QueuedJob> { it.priority }.thenBy { it.valuePerWork }

    /** The maximum number of rounds of postponement. Jobs postponed in the last round are not checked against their next objective. */
    private const val MAX_ROUNDS = 4
}
