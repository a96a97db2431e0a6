package lichenstage.partition

import lichenstage.jobs.JobCompletions

/** Jobs are open until they are said to have ended; what is known is as of [now]. */
class FakeJobCompletions(
    override val maxStalenessUs: Long,
    private val nowUs: () -> Long,
) : JobCompletions {
    private val endedJobs = HashSet<String>()

    /** The job is over from now on. */
    fun endJob(job: String) {
        endedJobs += job
    }

    override fun hasEnded(
        job: String,
        sinceUs: Long,
    ) = job in endedJobs

    override fun confirmedOpenUs(job: String): Long? = nowUs().takeIf { job !in endedJobs }
}
