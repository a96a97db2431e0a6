package lichenstage.jobs

/** The ends of jobs that a controller knows of. They determine its replies and commands to workers (invariant 15). */
interface JobCompletions {
    /** Returns whether the job has certainly ended, given that one of its tasks has been known since [sinceUs]. */
    fun hasEnded(
        job: String,
        sinceUs: Long,
    ): Boolean

    /**
     * Returns the latest time at which the job is known to have been open; null if the job is not known to be open. No user can have seen
     * the end of the job before that time.
     */
    fun confirmedOpenAtUs(job: String): Long?

    /**
     * The maximum age of the known ends, in microseconds. A reply that is sent within this time after a user has seen the end of a job may
     * still renew the lease of a worker that runs its tasks. That lease then expires before the time limit of the cancellation.
     */
    val maxStalenessUs: Long

    companion object {
        /** An implementation in which no job ever ends. */
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
