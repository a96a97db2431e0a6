package lichenstage.placement

import lichenstage.cluster.TaskPhase

/**
 * The leader's jobs, and when their tasks may be placed: at once where the job was accepted within the term, since no earlier leader
 * can have started any of it; else once the failover is complete (invariant 5).
 */
internal class JobTable(
    private val leaderKeyRevision: Long,
    private val isFailoverComplete: () -> Boolean,
) {
    /** Open jobs, and closed ones of which something may still run, by id. */
    val byId = LinkedHashMap<String, Job>()

    /** Adds a job; false where it is known already. */
    fun add(job: Job): Boolean {
        if (byId.containsKey(job.spec.id)) return false
        byId[job.spec.id] = job
        return true
    }

    /** The job was accepted within this term. */
    fun isFromThisTerm(job: Job) = job.createRevision > leaderKeyRevision

    /** Queues the tasks of a job where it is ready and they may be placed. */
    fun enqueueIfPlaceable(job: Job) {
        if (job.isReady && (isFailoverComplete() || isFromThisTerm(job))) job.enqueueTasks()
    }

    /** The failover is complete: queues the tasks of all ready jobs that had to wait for it. */
    fun enqueueAllReady() = byId.values.forEach { if (it.isReady && !it.isPlaceable) it.enqueueTasks() }

    /** Forgets a closed job of which nothing can run any more. */
    fun removeIfClosed(job: Job) {
        if (job.phase == JobPhase.CLOSED && job.liveAttempts.isEmpty()) byId.remove(job.spec.id)
    }

    /** For display: done and running tasks of each open job. */
    fun taskCounts(): Map<String, List<Int>> =
        byId.values.filter { it.phase != JobPhase.CLOSED }.associate { job ->
            job.spec.id to listOf(job.spec.tasks - job.remainingTasks, job.liveAttempts.values.count { it.phase != TaskPhase.PENDING })
        }
}
