package lichenstage.cluster

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Asks for all ends of jobs after [revision] that the receiver knows (invariant 15). [logIncarnation] and [upTo]: the process whose log
 * the sender has taken in so far, and how much of it. [incarnation] and [requestedAtUs], by the sender's clock, come back with the reply.
 */
@Serializable
@SerialName("lichenstage.cluster.EndsSince")
data class CompletionSyncRequest(
    @SerialName("life")
    val incarnation: Long,
    @SerialName("askedUs")
    val requestedAtUs: Long,
    val revision: Long,
    @SerialName("logLife")
    val logIncarnation: Long,
    @SerialName("upTo")
    val upTo: Long,
) : Frame

/** A piece of the sender's log of ended jobs, from [since] to [upTo]; [isFinal] where nothing follows. */
@Serializable
@SerialName("lichenstage.cluster.EndsOf")
data class CompletionSyncReply(
    @SerialName("life")
    val incarnation: Long,
    @SerialName("askedUs")
    val requestedAtUs: Long,
    @SerialName("logLife")
    val logIncarnation: Long,
    val since: Long,
    @SerialName("upTo")
    val upTo: Long,
    val jobs: List<String>,
    @SerialName("whole")
    val isFinal: Boolean,
) : Frame

/** These jobs have ended, as the sender is about to answer a user: so that their tasks stop early. Nothing depends on its arrival. */
@Serializable
@SerialName("lichenstage.cluster.Ended")
data class JobsEnded(
    val jobs: List<String>,
) : Frame
