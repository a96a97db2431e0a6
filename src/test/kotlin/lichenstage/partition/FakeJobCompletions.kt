package lichenstage.partition

import lichenstage.jobs.JobCompletions

/** A [JobCompletions] for tests: each job is open until [endJob] is called, and is confirmed open up to the current time. */
class FakeJobCompletions(
    override val maxStalenessUs: Long,
    private val nowUs: () -> Long,
) : JobCompletions {
    private val endedJobs = HashSet<String>()

    /** Ends the job. */
    fun endJob(job: String) {
        endedJobs += job
    }

    override fun hasEnded(
        job: String,
        sinceUs: Long,
    ) = job in endedJobs

    override fun confirmedOpenAtUs(job: String): Long? = nowUs().takeIf { job !in endedJobs }
}
