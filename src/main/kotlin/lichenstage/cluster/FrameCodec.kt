@file:OptIn(ExperimentalSerializationApi::class)

package lichenstage.cluster

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor

/**
 * The CBOR form of frames. What comes by the hundred in a frame is written as arrays: with the names of the fields each machine's tasks
 * took twice the bytes, and the leader read them from every partition ten times a second.
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

    /** The frame in [bytes]. Throws [FrameDecodingException] where they are none. */
    fun decode(bytes: ByteArray): Frame =
        @Suppress("TooGenericExceptionCaught") // A decoder of unknown bytes may throw anything.
        try {
            cbor.decodeFromByteArray(Frame.serializer(), bytes)
        } catch (e: Exception) {
            throw FrameDecodingException(e)
        }
}
