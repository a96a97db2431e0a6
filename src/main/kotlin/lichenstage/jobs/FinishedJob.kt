package lichenstage.jobs

/** How a job ended. Records and answers name it [wireName]. */
enum class EndStatus(
    val wireName: String,
) {
    /** All of its tasks are done. */
    DONE("done"),

    /** It was cancelled by its user, or a job that it depends on was. */
    CANCELLED("cancelled"),
}

/**
 * How a job ended.
 *
 * @property endedAtUs time of day of the end, in microseconds; null where that is not recorded
 */
data class JobOutcome(
    val status: EndStatus,
    val endedAtUs: Long?,
) {
    /** All of its tasks are done. */
    val isDone get() = status == EndStatus.DONE
}

/**
 * The end of a job as it is recorded. It never changes.
 *
 * @property completedTasks how many of its tasks were done
 */
data class FinishedJob(
    val outcome: JobOutcome,
    val completedTasks: Int,
)
