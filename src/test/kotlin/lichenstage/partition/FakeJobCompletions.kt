package lichenstage.partition

import lichenstage.jobs.JobCompletions

/** Jobs are open until they are said to have ended; what is known is as of [now]. */
class FakeJobCompletions(
    override val maxStalenessUs: Long,
    private val now: () -> Long,
) : JobCompletions {
    private val ended = HashSet<String>()

    /** The job is over from now on. */
    fun end(job: String) {
        ended += job
    }

    override fun hasEnded(
        job: String,
        sinceUs: Long,
    ) = job in ended

    override fun confirmedOpenUs(job: String): Long? = now().takeIf { job !in ended }
}
