package lichenstage.placement

import lichenstage.jobs.DependencyGraph

/** The leader's jobs that wait for others: released once all that they need is recorded as done, or cancelled with it. */
internal class BlockedJobs(
    private val dependencyGraph: DependencyGraph,
    private val core: LeaderCore,
    /** Jobs that one transaction records as cancelled. */
    private val cancelledAtOnce: Int,
) {
    private val waiting = LinkedHashSet<Job>()
    private var cancelling = false

    fun add(job: Job) {
        waiting += job
    }

    /** Releases what is ready, with the time of day at which the last job that it needs was recorded, or 0 where none says. */
    fun release(ready: (job: Job, recordedAtUs: Long) -> Unit) {
        waiting.removeIf { job ->
            val recordedAtUs = dependencyGraph.readySinceUs(job.spec.dependencies)
            if (recordedAtUs != null) ready(job, recordedAtUs)
            recordedAtUs != null || job.phase == JobPhase.CLOSED
        }
    }

    /** Jobs to record as cancelled next; none while some are being recorded. */
    fun takeOrphans(): List<Job> {
        if (cancelling) return emptyList()
        val jobs = dependencyGraph.orphans(cancelledAtOnce).mapNotNull { core.jobs[it] }.filter { it.phase == JobPhase.OPEN }
        cancelling = jobs.isNotEmpty()
        return jobs
    }

    fun orphansCancelled() {
        cancelling = false
    }
}
