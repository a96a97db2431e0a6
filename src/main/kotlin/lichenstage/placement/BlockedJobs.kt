package lichenstage.placement

import lichenstage.jobs.DependencyGraph

/**
 * The leader's jobs that wait for dependencies. A job is released when all its dependencies are recorded as done. It is cancelled when
 * one of them is recorded as cancelled.
 */
internal class BlockedJobs(
    private val dependencyGraph: DependencyGraph,
    private val core: LeaderCore,
    /** The maximum number of jobs that one transaction records as cancelled. */
    private val maxCancellationsPerTransaction: Int,
) {
    private val waitingJobs = LinkedHashSet<Job>()
    private var isCancellationInFlight = false

    /** Adds a job that has dependencies and has not been released yet. */
    fun add(job: Job) {
        waitingJobs += job
    }

    /**
     * Releases the jobs whose dependencies are all recorded as done, and removes closed jobs.
     *
     * @param onReady called for each released job. `recordedAtUs` is the time of day, in microseconds, at which the last of its
     *   dependencies was recorded as done, or 0 if no record contains a time
     */
    fun releaseReady(onReady: (job: Job, recordedAtUs: Long) -> Unit) {
        waitingJobs.removeIf { job ->
            val recordedAtUs = dependencyGraph.readySinceUs(job.spec.dependencies)
            if (recordedAtUs != null) onReady(job, recordedAtUs)
            recordedAtUs != null || job.phase == JobPhase.CLOSED
        }
    }

    /**
     * Returns the jobs to record as cancelled next because a dependency was cancelled. Empty while the previous cancellations are being
     * written.
     */
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

    /** Allows further cancellations. Called when the write of the previous ones has ended, successfully or not. */
    fun onCancellationsWritten() {
        isCancellationInFlight = false
    }
}
