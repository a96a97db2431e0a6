package lichenstage.placement

import lichenstage.model.Priority
import java.util.PriorityQueue

/**
 * A service objective of a waiting job, as the order of the queue sees it.
 *
 * @property dueUs when all work of the job must be done for it, on the steady clock
 * @property value what meeting it is worth, in jobs of the job's class
 */
data class PlannedObjective(
    val dueUs: Long,
    val value: Double,
)

/**
 * A waiting job, as the order of the queue sees it.
 *
 * @property work the work left, in core microseconds
 * @property objectives those that can still be met, the earliest first
 * @property runUs expected run time of one task
 * @property priority the job's own, or a higher one inherited from a dependent
 */
class QueuedJob(
    val job: Job,
    val work: Double,
    val objectives: List<PlannedObjective>,
    val runUs: Long,
    val priority: Priority = job.spec.priority,
) {
    private var objectiveIndex = 0
    private val objective get() = objectives[objectiveIndex]

    /** When the work must be done for the objective that the job is planned for. */
    val dueUs get() = objective.dueUs

    /** What meeting that objective is worth for each unit of work. */
    val valuePerWork get() = objective.value / work

    /** Plans the job for its next objective; false where it has none left. */
    fun postpone(): Boolean = ++objectiveIndex < objectives.size
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
    /** All jobs of [waiting] in their order; [capacity] is the work that the machines do in a microsecond, in cores. */
    fun order(
        waiting: List<QueuedJob>,
        capacity: Double,
        now: Long,
    ): List<Job> {
        val withoutObjective = waiting.filterTo(ArrayList()) { it.objectives.isEmpty() }
        var planned = waiting.filter { it.objectives.isNotEmpty() }
        var rounds = 0
        while (rounds++ < MAX_ROUNDS) {
            val late = selectLate(planned.sortedBy { it.dueUs }, capacity, now)
            if (late.isEmpty()) break
            val dropped = late.filter { !it.postpone() }.toSet()
            withoutObjective += dropped
            planned = planned.filter { it !in dropped }
        }
        return (planned.sortedWith(BY_DUE_TIME) + withoutObjective.sortedWith(BY_RUN_TIME)).map { it.job }
    }

    /** The jobs to postpone when [planned], in the order of their due times, are worked off. */
    private fun selectLate(
        planned: List<QueuedJob>,
        capacity: Double,
        now: Long,
    ): List<QueuedJob> {
        val late = ArrayList<QueuedJob>()
        val scheduled = PriorityQueue(BY_VALUE)
        var work = 0.0
        for (next in planned) {
            scheduled += next
            work += next.work
            while (scheduled.isNotEmpty() && now + work / capacity > next.dueUs) {
                val leastValue = scheduled.poll()
                work -= leastValue.work
                late += leastValue
                if (leastValue === next) break
            }
        }
        return late
    }

    private val BY_DUE_TIME = compareBy<QueuedJob> { it.dueUs }.thenBy { it.job.createRevision }
    private val BY_RUN_TIME =
        compareByDescending<QueuedJob> { it.priority }.thenByDescending { it.runUs }.thenBy { it.job.createRevision }
    private val BY_VALUE = compareBy<QueuedJob> { it.priority }.thenBy { it.valuePerWork }

    /** How often jobs are postponed at the most; what is still late after that keeps its place. */
    private const val MAX_ROUNDS = 4
}
