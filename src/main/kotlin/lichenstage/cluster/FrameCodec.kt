@file:OptIn(ExperimentalSerializationApi::class)

package lichenstage.cluster

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor

/**
 * The CBOR encoding of frames.
 *
 * Elements that occur by the hundred in a frame, such as tasks, are encoded as arrays without field names. With field names the tasks of
 * each machine took twice the bytes, and the leader reads them from every partition ten times a second.
 */
object FrameCodec {
    private val cbor =
        Cbor {
            ignoreUnknownKeys = true
            // The fields of an array are identified by position, so none can be omitted.
            encodeDefaults = true
        }

    /** Returns the CBOR bytes of [frame], without the length prefix. */
    fun encode(frame: Frame): ByteArray = cbor.encodeToByteArray(Frame.serializer(), frame)

    /** Returns the frame encoded in [bytes]. Throws [FrameDecodingException] if they are not a frame of a known type. */
    fun decode(bytes: ByteArray): Frame =
        @Suppress("TooGenericExceptionCaught") // The decoder can throw any exception on arbitrary bytes.
        try {
            cbor.decodeFromByteArray(Frame.serializer(), bytes)
        } catch (e: Exception) {
            throw FrameDecodingException(e)
        }
}
