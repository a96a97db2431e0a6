package lichenstage.placement

import lichenstage.cluster.TaskPhase
import lichenstage.common.LruMap

/**
 * The leader's jobs, and the rule that decides when their tasks may be placed (invariant 5).
 *
 * Tasks of a job that was accepted in this term may be placed at once, since no earlier leader can have started any of them. Tasks of
 * other jobs may be placed after the failover is complete.
 */
internal class JobTable(
    private val leaderKeyRevision: Long,
    private val isFailoverComplete: () -> Boolean,
) {
    /** Open jobs, and closed jobs with attempts that may still be running, by job id. */
    val byId = LinkedHashMap<String, Job>()

    private val completeJobs = LruMap<String, Unit>(MAX_COMPLETE_JOBS)

    /** Remembers that the completion of a job is recorded. */
    fun markComplete(job: String) {
        completeJobs[job] = Unit
    }

    /** Returns whether the completion of a job is recorded, as far as this leader remembers. */
    fun isComplete(job: String) = job in completeJobs.keys

    /** Adds a job. Returns false if the table already contains it. */
    fun add(job: Job): Boolean {
        if (byId.containsKey(job.spec.id)) return false
        byId[job.spec.id] = job
        return true
    }

    /** Returns whether the job was accepted in this term. */
    fun isFromThisTerm(job: Job) = job.createRevision > leaderKeyRevision

    /** Queues the tasks of a job if the job is ready and its tasks may be placed. */
    fun enqueueIfPlaceable(job: Job) {
        if (job.isReady && (isFailoverComplete() || isFromThisTerm(job))) job.enqueueTasks()
    }

    /** Queues the tasks of all ready jobs that had to wait for the failover. Called when the failover is complete. */
    fun enqueueAllReady() = byId.values.forEach { if (it.isReady && !it.isPlaceable) it.enqueueTasks() }

    /** Removes a closed job once none of its attempts can be running. */
    fun removeIfClosed(job: Job) {
        if (job.phase == JobPhase.CLOSED && job.liveAttempts.isEmpty()) byId.remove(job.spec.id)
    }

    /** Returns the numbers of done tasks and of tasks in progress, including a fetch, of each open job, for display. */
    fun taskCounts(): Map<String, List<Int>> =
        byId.values.filter { it.phase != JobPhase.CLOSED }.associate { job ->
            job.spec.id to listOf(job.spec.taskCount - job.remainingTasks, job.liveAttempts.values.count { it.phase != TaskPhase.PENDING })
        }

    private companion object {
        const val MAX_COMPLETE_JOBS = 10_000
    }
}
