package lichenstage.cluster

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A message between controllers. A frame can be lost, delayed or duplicated; its content lets the receiver detect this. */
@Serializable
sealed interface Frame

/**
 * The first frame of a connection, which identifies the sender. Each new process of a controller has a higher [incarnation], and the
 * receiver drops frames from lower ones.
 */
@Serializable
@SerialName("lichenstage.cluster.Hello")
data class Hello(
    val label: String,
    @SerialName("life")
    val incarnation: Long = 0,
) : Frame

/** A periodic liveness signal. [isStateServiceAvailable] says whether the state service replies to the sender. */
@Serializable
@SerialName("lichenstage.cluster.Ping")
data class Ping(
    @SerialName("stateAnswers")
    val isStateServiceAvailable: Boolean,
) : Frame

/**
 * A frame that a third controller relays between two controllers that cannot reach each other. The third controller is the "intermediate
 * agent" of the paper that docs/design.md follows.
 */
@Serializable
@SerialName("lichenstage.cluster.Relayed")
data class RelayedFrame(
    val from: String,
    val to: String,
    val frame: Frame,
) : Frame
