package lichenstage.cluster

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A request for all job completions after [revision] that the receiver has recorded (invariant 15).
 *
 * [logIncarnation] identifies the process whose completion log the sender has applied so far, and [upTo] the position reached in that log.
 * The reply returns [incarnation] and [requestedAtUs], a time by the sender's clock, unchanged.
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

/** A section of the sender's log of finished jobs, from position [since] to [upTo]. [isFinal] marks the last section of the log. */
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

/**
 * A notice that [jobs] have ended, sent just before the sender replies to the user. The receiver can then stop their tasks early. No
 * protocol step depends on its arrival.
 */
@Serializable
@SerialName("lichenstage.cluster.Ended")
data class JobsEnded(
    val jobs: List<String>,
) : Frame
