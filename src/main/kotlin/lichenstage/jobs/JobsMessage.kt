package lichenstage.jobs

import lichenstage.cluster.TaskCounts
import lichenstage.cluster.UserVerb

/** The messages that [JobsActor] handles. */
sealed interface JobsMessage {
    /**
     * A user's request.
     *
     * @property text the body of a submission, or the job's id in other requests
     * @property isForwarded whether another controller forwarded the request because the state service does not reply to it
     * @property sendReply the callback for the reply, called once
     */
    data class UserRequest(
        val verb: UserVerb,
        val text: String,
        val isForwarded: Boolean = false,
        val sendReply: (Reply) -> Unit,
    ) : JobsMessage

    /** The task counts that a leader has sent. */
    data class TaskCountsReceived(
        val counts: TaskCounts,
    ) : JobsMessage
}
