package lichenstage.cluster

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A request for an acquisition moratorium: the receiver is to acquire no key of the state service for a short time. The grant returns
 * [incarnation] and [requestedAtUs], a time by the requester's clock, unchanged.
 */
@Serializable
@SerialName("lichenstage.cluster.Bind")
data class MoratoriumRequest(
    @SerialName("life")
    val incarnation: Long,
    @SerialName("askedUs")
    val requestedAtUs: Long,
) : Frame

/** The grant of an acquisition moratorium: the sender acquires no key for a short time, counted from its receipt of the request. */
@Serializable
@SerialName("lichenstage.cluster.Bound")
data class MoratoriumGrant(
    @SerialName("life")
    val incarnation: Long,
    @SerialName("askedUs")
    val requestedAtUs: Long,
) : Frame
