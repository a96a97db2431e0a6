package lichenstage.jobs

import lichenstage.cluster.TaskCounts
import lichenstage.cluster.UserVerb

/** Messages to [JobsActor]. */
sealed interface JobsMessage {
    /**
     * A user's request.
     *
     * @property text the body of a submission, or a job's id
     * @property isForwarded another controller that can't answer it has passed it on
     * @property reply takes the answer, once
     */
    data class UserRequest(
        val verb: UserVerb,
        val text: String,
        val isForwarded: Boolean = false,
        val reply: (Reply) -> Unit,
    ) : JobsMessage

    /** A leader's counts of tasks. */
    data class TaskCountsReceived(
        val counts: TaskCounts,
    ) : JobsMessage
}
