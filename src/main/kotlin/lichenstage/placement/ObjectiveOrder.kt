package lichenstage.placement

import lichenstage.model.Priority
import java.util.PriorityQueue

/**
 * A service objective of a waiting job, as the order of the queue sees it.
 *
 * @property dueAtUs when all work of the job must be done for it, on the steady clock
 * @property value what meeting it is worth, in jobs of the job's class
 */
data class PlannedObjective(
    val dueAtUs: Long,
    val value: Double,
)

/**
 * A waiting job, as the order of the queue sees it.
 *
 * @property remainingWork the work left, in core microseconds
 * @property objectives those that can still be met, the earliest first
 * @property runUs expected run time of one task
 * @property priority the job's own, or a higher one inherited from a dependent
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

    /** When the work must be done for the objective that the job is planned for. */
    val dueAtUs get() = currentObjective.dueAtUs

    /** What meeting that objective is worth for each unit of work. */
    val valuePerWork get() = currentObjective.value / remainingWork

    /** Plans the job for its next objective; false where it has none left. */
    fun advanceToNextObjective(): Boolean = ++objectiveIndex < objectives.size
}

/**
 * The order of the queue: it meets as many service objectives as the machines allow.
 *
 * Where not all can be met, the job of the lowest priority with the least value for its work is postponed to its next objective (after
 * Moore and Hodgson: by due time, and whenever a job would be late, the one of least value so far is taken out). A deadline counts by
 * jobs, so that large jobs have the least value for their work; a start counts by tasks, so that they don't. Jobs for which no objective
 * is left come last, the longest tasks first, so that all is done early.
 */
object ObjectiveOrder {
    /** All jobs of [waitingJobs] in their order; [capacityCores] is the work that the machines do in a microsecond, in cores. */
    fun sort(
        waitingJobs: List<QueuedJob>,
        capacityCores: Double,
        nowUs: Long,
    ): List<Job> {
        val withoutObjective = waitingJobs.filterTo(ArrayList()) { it.objectives.isEmpty() }
        var plannedJobs = waitingJobs.filter { it.objectives.isNotEmpty() }
        var rounds = 0
        while (rounds++ < MAX_ROUNDS) {
            val postponed = selectJobsToPostpone(plannedJobs.sortedBy { it.dueAtUs }, capacityCores, nowUs)
            if (postponed.isEmpty()) break
            val withoutNextObjective = postponed.filter { !it.advanceToNextObjective() }.toSet()
            withoutObjective += withoutNextObjective
            plannedJobs = plannedJobs.filter { it !in withoutNextObjective }
        }
        return (plannedJobs.sortedWith(BY_DUE_TIME) + withoutObjective.sortedWith(BY_RUN_TIME)).map { it.job }
    }

    /** The jobs to postpone when [plannedJobs], in the order of their due times, are worked off. */
    private fun selectJobsToPostpone(
        plannedJobs: List<QueuedJob>,
        capacityCores: Double,
        nowUs: Long,
    ): List<QueuedJob> {
        val postponed = ArrayList<QueuedJob>()
        val scheduled = PriorityQueue(BY_VALUE)
        var scheduledWork = 0.0
        for (queuedJob in plannedJobs) {
            scheduled += queuedJob
            scheduledWork += queuedJob.remainingWork
            while (scheduled.isNotEmpty() && nowUs + scheduledWork / capacityCores > queuedJob.dueAtUs) {
                val leastValue = scheduled.poll()
                scheduledWork -= leastValue.remainingWork
                postponed += leastValue
                if (leastValue === queuedJob) break
            }
        }
        return postponed
    }

    private val BY_DUE_TIME = compareBy<QueuedJob> { it.dueAtUs }.thenBy { it.job.createRevision }
    private val BY_RUN_TIME =
        compareByDescending<QueuedJob> { it.priority }.thenByDescending { it.runUs }.thenBy { it.job.createRevision }
    private val BY_VALUE = compareBy<QueuedJob> { it.priority }.thenBy { it.valuePerWork }

    /** How often jobs are postponed at the most; what is still late after that keeps its place. */
    private const val MAX_ROUNDS = 4
}
