package lichenstage.cluster

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The operation that a user requests. */
@Serializable
enum class UserVerb { SUBMIT, SHOW, CANCEL }

/** A user's request that a controller forwards to another one because the state service is unavailable to it. */
@Serializable
@SerialName("lichenstage.cluster.Forward")
data class ForwardedRequest(
    val number: Long,
    val verb: UserVerb,
    val text: String,
) : Frame

/** The reply to the forwarded request with this [number]. */
@Serializable
@SerialName("lichenstage.cluster.Forwarded")
data class ForwardedReply(
    val number: Long,
    val status: Int,
    val body: String,
    val retryAfterS: Int?,
) : Frame

/** The number of done and of running tasks, in this order, of each open job. The counts are for display only. */
@Serializable
@SerialName("lichenstage.cluster.Counts")
data class TaskCounts(
    val term: Long,
    val jobs: Map<String, List<Int>>,
) : Frame
