package lichenstage.placement

import lichenstage.jobs.DependencyGraph

/** The leader's jobs with open dependencies: released once all of those are recorded as done, or cancelled with one that is. */
internal class BlockedJobs(
    private val dependencyGraph: DependencyGraph,
    private val core: LeaderCore,
    /** How many jobs one transaction records as cancelled, at the most. */
    private val maxCancellationsPerTransaction: Int,
) {
    private val waitingJobs = LinkedHashSet<Job>()
    private var isCancellationInFlight = false

    /** The job has dependencies that are not recorded as done. */
    fun add(job: Job) {
        waitingJobs += job
    }

    /**
     * Releases the jobs whose dependencies are all recorded as done, with the time of day of the last of these records in microseconds,
     * or 0 where no record says.
     */
    fun releaseReady(onReady: (job: Job, recordedAtUs: Long) -> Unit) {
        waitingJobs.removeIf { job ->
            val recordedAtUs = dependencyGraph.readySinceUs(job.spec.dependencies)
            if (recordedAtUs != null) onReady(job, recordedAtUs)
            recordedAtUs != null || job.phase == JobPhase.CLOSED
        }
    }

    /** Jobs to record as cancelled next, since a dependency was; none while a record of some is being written. */
    fun takeJobsToCancel(): List<Job> {
        if (isCancellationInFlight) return emptyList()
        val jobs =
            dependencyGraph
                .findOrphans(maxCancellationsPerTransaction)
                .mapNotNull { core.jobs[it] }
                .filter { it.phase == JobPhase.OPEN }
        isCancellationInFlight = jobs.isNotEmpty()
        return jobs
    }

    /** The write of the last cancellations has ended, successfully or not. */
    fun onCancellationsWritten() {
        isCancellationInFlight = false
    }
}
