package lichenstage.jobs

import io.vertx.core.json.JsonObject
import lichenstage.common.HttpStatus

/**
 * A reply to a user.
 *
 * @property status the HTTP status
 * @property body the JSON body
 * @property retryAfterS the seconds after which the user should repeat the request; null if the reply is final
 */
data class Reply(
    val status: Int,
    val body: JsonObject,
    val retryAfterS: Int? = null,
) {
    companion object {
        /** Returns the reply with the state of an open job. */
        fun ofOpen(
            id: String,
            progress: TaskProgress,
        ) = ofJob(id, if (progress.running > 0) RUNNING else PENDING, progress)

        /** Returns the reply with the state of a finished job. */
        fun ofFinished(
            id: String,
            job: FinishedJob,
        ) = ofJob(id, job.outcome.status.wireName, TaskProgress(job.completedTasks, 0))

        private fun ofJob(
            id: String,
            status: String,
            progress: TaskProgress,
        ) = Reply(
            HttpStatus.OK,
            JsonObject()
                .put(SubmissionFields.ID, id)
                .put("status", status)
                .put("done", progress.done)
                .put("running", progress.running),
        )

        /** Returns the confirmation that a job was accepted, with its initial [status]. */
        fun accepted(
            id: String,
            status: String,
        ) = Reply(HttpStatus.CREATED, JsonObject().put(SubmissionFields.ID, id).put("status", status))

        /** Returns the rejection of a request because of [field]. */
        fun rejected(
            status: Int,
            field: String,
            message: String,
        ) = Reply(status, JsonObject().put("error", message).put("field", field))

        /** Returns the reply about a job that was never accepted. */
        fun unknownJob() = rejected(HttpStatus.NOT_FOUND, SubmissionFields.ID, "${SubmissionFields.ID}: must be the id of an accepted job")

        /** Returns the reply to a request that cannot be handled now. The user can repeat it after [retryAfterS] seconds. */
        fun unavailable(
            reason: String,
            retryAfterS: Int = 1,
        ) = Reply(HttpStatus.SERVICE_UNAVAILABLE, JsonObject().put("error", reason), retryAfterS)

        /** Returns the reply to a request that the state service did not reply to. */
        fun stateUnavailable() = unavailable("the state service is unavailable")

        /** The status of an open job without running tasks. */
        const val PENDING = "pending"
        private const val RUNNING = "running"
    }
}

/** The numbers of done and running tasks of a job, for display only. */
data class TaskProgress(
    val done: Int,
    val running: Int,
)
