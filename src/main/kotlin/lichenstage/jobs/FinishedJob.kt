package lichenstage.jobs

/** The final status of a job. Records and replies contain its [wireName]. */
enum class EndStatus(
    val wireName: String,
) {
    /** All tasks of the job are done. */
    DONE("done"),

    /** The job was cancelled, either by its user or because a job that it depends on was cancelled. */
    CANCELLED("cancelled"),
}

/**
 * The final status of a job and the time of its end.
 *
 * @property endedAtUs time of day of the end, in microseconds; null if the record does not contain it
 */
data class JobOutcome(
    val status: EndStatus,
    val endedAtUs: Long?,
) {
    /** Whether all tasks of the job are done. */
    val isDone get() = status == EndStatus.DONE
}

/**
 * The recorded end of a job. It never changes.
 *
 * @property completedTasks number of the job's tasks that were done
 */
data class FinishedJob(
    val outcome: JobOutcome,
    val completedTasks: Int,
)
