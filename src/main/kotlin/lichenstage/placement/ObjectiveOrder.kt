package lichenstage.placement

import lichenstage.model.Priority
import java.util.PriorityQueue

/** A promise as the plan sees it: when its work must be done, and what keeping it counts, in jobs of its class. */
data class PlannedObjective(
    val dueUs: Long,
    val value: Double,
)

/** A job as the order of the queue sees it: the work left, and the promises that can still be kept, the earliest first. */
class QueuedJob(
    val job: Job,
    val work: Double,
    val steps: List<PlannedObjective>,
    val runUs: Long,
    /** Its own, or that of a job that waits for it. */
    val priority: Priority = job.spec.priority,
) {
    /** Which of its promises it is planned for. */
    var step = 0
    val due get() = steps[step].dueUs

    /** What is kept for each unit of work. */
    val yield get() = steps[step].value / work
}

/**
 * The order of the queue: as many promises kept as the machines allow.
 *
 * Where not all can be kept, it is the job of the lowest priority that keeps least for its work that gives way (after Moore
 * and Hodgson: by due time, and whenever one would be late the one of least yield so far is put off), to its next promise if it
 * has one. A deadline is counted by jobs, so that large jobs yield least; a start is counted by tasks, so that they don't. What
 * no promise is left for comes after, the longest tasks first, so that all is done early.
 */
object ObjectiveOrder {
    /** [capacity] is the work done in a microsecond. */
    fun order(
        waiting: List<QueuedJob>,
        capacity: Double,
        now: Long,
    ): List<Job> {
        val late = ArrayList<QueuedJob>()
        var planned = waiting.filter { it.steps.isNotEmpty() }
        waiting.filterTo(late) { it.steps.isEmpty() }
        var rounds = 0
        while (rounds++ < MOST_ROUNDS) {
            val off = postpone(planned.sortedBy { it.due }, capacity, now)
            if (off.isEmpty()) break
            val gone = off.filter { ++it.step >= it.steps.size }.toSet()
            late += gone
            planned = planned.filter { it !in gone }
        }
        val kept = planned.sortedWith(compareBy<QueuedJob> { it.due }.thenBy { it.job.createRevision })
        return (
            kept +
                late.sortedWith(
                    compareByDescending<QueuedJob> { it.priority }.thenByDescending { it.runUs }.thenBy { it.job.createRevision },
                )
        ).map { it.job }
    }

    /** Those that give way when [planned] is worked off in its order. */
    private fun postpone(
        planned: List<QueuedJob>,
        capacity: Double,
        now: Long,
    ): List<QueuedJob> {
        val off = ArrayList<QueuedJob>()
        val taken = PriorityQueue(compareBy<QueuedJob> { it.priority }.thenBy { it.yield })
        var work = 0.0
        for (next in planned) {
            taken += next
            work += next.work
            while (taken.isNotEmpty() && now + work / capacity > next.due) {
                val victim = taken.poll()
                work -= victim.work
                off += victim
                if (victim === next) break
            }
        }
        return off
    }

    private const val MOST_ROUNDS = 4
}
