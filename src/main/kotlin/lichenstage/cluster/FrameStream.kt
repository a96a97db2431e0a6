package lichenstage.cluster

import io.vertx.core.buffer.Buffer
import io.vertx.core.parsetools.RecordParser

/** The framing of a connection's byte stream: each frame follows a four-byte prefix that holds the frame's length in bytes. */
internal object FrameStream {
    private const val LENGTH_BYTES = 4
    private const val MAX_FRAME_BYTES = 8 * 1024 * 1024

    /** Returns a buffer with the length prefix followed by [bytes], one encoded frame. */
    fun withLengthPrefix(bytes: ByteArray): Buffer = Buffer.buffer(bytes.size + LENGTH_BYTES).appendInt(bytes.size).appendBytes(bytes)

    /**
     * Returns a handler for the bytes of one connection. It calls [onFrame] with the bytes of each frame, and [onInvalidLength] if a length
     * prefix is not in 1..[MAX_FRAME_BYTES].
     */
    fun createParser(
        onFrame: (ByteArray) -> Unit,
        onInvalidLength: () -> Unit,
    ): RecordParser {
        var length = -1
        val parser = RecordParser.newFixed(LENGTH_BYTES)
        parser.handler { buffer ->
            if (length < 0) {
                length = buffer.getInt(0)
                if (length in 1..MAX_FRAME_BYTES) parser.fixedSizeMode(length) else onInvalidLength()
            } else {
                length = -1
                parser.fixedSizeMode(LENGTH_BYTES)
                onFrame(buffer.bytes)
            }
        }
        return parser
    }
}
