package lichenstage.cluster

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Asks the receiver to take no key for a moment. [incarnation] and [askedUs] are the asker's, and come back with the answer. */
@Serializable
@SerialName("lichenstage.cluster.Bind")
data class MoratoriumRequest(
    @SerialName("life")
    val incarnation: Long,
    val askedUs: Long,
) : Frame

/** The sender takes no key for a moment from when it got the request on. */
@Serializable
@SerialName("lichenstage.cluster.Bound")
data class MoratoriumGrant(
    @SerialName("life")
    val incarnation: Long,
    val askedUs: Long,
) : Frame
