package lichenstage.cluster

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What passes between controllers. Every frame can be lost, late or repeated; each carries what is needed to see that. */
@Serializable
sealed interface Frame

/** Says who connects. [incarnation] rises from process to process: what an earlier one had under way is not heard any more. */
@Serializable
@SerialName("lichenstage.cluster.Hello")
data class Hello(
    val label: String,
    @SerialName("life")
    val incarnation: Long = 0,
) : Frame

/** Says that the sender is there, and whether the state service answers it. */
@Serializable
@SerialName("lichenstage.cluster.Ping")
data class Ping(
    val stateAnswers: Boolean,
) : Frame

/** A frame on its way through a third controller, for a pair that can't reach each other (the paper's intermediate agent). */
@Serializable
@SerialName("lichenstage.cluster.Relayed")
data class RelayedFrame(
    val from: String,
    val to: String,
    val frame: Frame,
) : Frame
