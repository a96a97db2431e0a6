package lichenstage.jobs

import io.vertx.core.json.JsonObject
import lichenstage.common.HttpStatus

/**
 * An answer to a user.
 *
 * @property status the HTTP status
 * @property body the JSON body
 * @property retryAfterS when the user should come again, where it can't be answered now
 */
data class Reply(
    val status: Int,
    val body: JsonObject,
    val retryAfterS: Int? = null,
) {
    companion object {
        /** The state of an open job. */
        fun ofOpen(
            id: String,
            progress: TaskProgress,
        ) = ofJob(id, if (progress.running > 0) RUNNING else PENDING, progress)

        /** The state of a finished job. */
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

        /** A job that was accepted just now, with its [status] from now on. */
        fun accepted(
            id: String,
            status: String,
        ) = Reply(HttpStatus.CREATED, JsonObject().put(SubmissionFields.ID, id).put("status", status))

        /** A request that is wrong in [field]. */
        fun rejected(
            status: Int,
            field: String,
            message: String,
        ) = Reply(status, JsonObject().put("error", message).put("field", field))

        /** A job that was never accepted. */
        fun unknownJob() = rejected(HttpStatus.NOT_FOUND, SubmissionFields.ID, "no such job")

        /** The request can't be answered now; it can be repeated after [retryAfterS]. */
        fun unavailable(
            reason: String,
            retryAfterS: Int = 1,
        ) = Reply(HttpStatus.SERVICE_UNAVAILABLE, JsonObject().put("error", reason), retryAfterS)

        /** The state service did not answer. */
        fun stateUnavailable() = unavailable("the state service can't be asked")

        /** Status of a job none of whose tasks runs. */
        const val PENDING = "pending"
        private const val RUNNING = "running"
    }
}

/** How many tasks of a job are done and running, for display. */
data class TaskProgress(
    val done: Int,
    val running: Int,
)
