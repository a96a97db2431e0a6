package lichenstage.jobs

/** The ends of jobs that a controller knows of, as far as answers and orders to workers depend on them (invariant 15). */
interface JobCompletions {
    /** The job has certainly ended, where a task of it has been known since [sinceUs]. */
    fun hasEnded(
        job: String,
        sinceUs: Long,
    ): Boolean

    /** The time as of which the job is known to be open: no user can have seen its end before. Null where it is not known to be open. */
    fun confirmedOpenAtUs(job: String): Long?

    /**
     * How stale the knowledge of ends may be, in microseconds: for so long after a user may have seen a job's end an answer may still
     * renew the lease of a worker that may run its tasks. The lease then ends before the cancellation has had its time.
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

                override fun confirmedOpenAtUs(job: String): Long? = null

                override val maxStalenessUs = Long.MAX_VALUE
            }
    }
}
