package lichenstage.cluster

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A message between controllers. Every frame can be lost, late or repeated; each carries what is needed to recognize that. */
@Serializable
sealed interface Frame

/** The first frame of a connection: the sender. [incarnation] rises from process to process: frames of earlier ones are dropped. */
@Serializable
@SerialName("lichenstage.cluster.Hello")
data class Hello(
    val label: String,
    @SerialName("life")
    val incarnation: Long = 0,
) : Frame

/** Sent at a steady pace: the sender is alive, and whether the state service answers it. */
@Serializable
@SerialName("lichenstage.cluster.Ping")
data class Ping(
    @SerialName("stateAnswers")
    val isStateServiceAvailable: Boolean,
) : Frame

/** A frame on its way through a third controller, for a pair that can't reach each other (the paper's intermediate agent). */
@Serializable
@SerialName("lichenstage.cluster.Relayed")
data class RelayedFrame(
    val from: String,
    val to: String,
    val frame: Frame,
) : Frame
