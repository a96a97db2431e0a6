package lichenstage.cluster

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Asks the receiver for an acquisition moratorium: to acquire no key for a moment. [incarnation] and [requestedAtUs], by the sender's
 * clock, come back with the grant.
 */
@Serializable
@SerialName("lichenstage.cluster.Bind")
data class MoratoriumRequest(
    @SerialName("life")
    val incarnation: Long,
    @SerialName("askedUs")
    val requestedAtUs: Long,
) : Frame

/** The sender acquires no key for a moment, from when it received the request on. */
@Serializable
@SerialName("lichenstage.cluster.Bound")
data class MoratoriumGrant(
    @SerialName("life")
    val incarnation: Long,
    @SerialName("askedUs")
    val requestedAtUs: Long,
) : Frame
