@file:OptIn(ExperimentalSerializationApi::class)

package lichenstage.cluster

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor

/**
 * What comes by the hundred in a frame is written as arrays: with the names of the fields each machine's tasks took twice the bytes,
 * and the leader read them from every partition ten times a second.
 */
object FrameCodec {
    private val cbor =
        Cbor {
            ignoreUnknownKeys = true
            // An array has no names to tell which of its fields were left out.
            encodeDefaults = true
        }

    /** The bytes of a frame. */
    fun encode(frame: Frame): ByteArray = cbor.encodeToByteArray(Frame.serializer(), frame)

    /** The frame in [bytes]; throws where it is none. */
    fun decode(bytes: ByteArray): Frame = cbor.decodeFromByteArray(Frame.serializer(), bytes)
}
