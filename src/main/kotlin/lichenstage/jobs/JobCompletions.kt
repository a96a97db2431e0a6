package lichenstage.jobs

/** What a controller knows of the ends of jobs, as far as answers and orders to workers depend on it (invariant 15). */
interface JobCompletions {
    /** The job is over for certain, where a task of it has been known since [sinceUs]. */
    fun hasEnded(
        job: String,
        sinceUs: Long,
    ): Boolean

    /** As of when the job is known to be open: whoever was told of its end was told later. Null where it is not known to be open. */
    fun confirmedOpenUs(job: String): Long?

    /**
     * How long after a user may have been told of a job's end an answer may still renew the lease of a worker that may run its tasks: the
     * lease then ends before the cancellation has had its time.
     */
    val maxStalenessUs: Long

    companion object {
        /** No job ever ends. */
        val NONE =
            object : JobCompletions {
                override fun hasEnded(
                    job: String,
                    sinceUs: Long,
                ) = false

                override fun confirmedOpenUs(job: String): Long? = null

                override val maxStalenessUs = Long.MAX_VALUE
            }
    }
}
