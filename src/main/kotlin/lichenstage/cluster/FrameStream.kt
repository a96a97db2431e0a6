package lichenstage.cluster

import io.vertx.core.buffer.Buffer
import io.vertx.core.parsetools.RecordParser

/** Frames as they follow each other on a connection: each is preceded by the number of its bytes, in four bytes. */
internal object FrameStream {
    private const val LENGTH_BYTES = 4
    private const val MAX_FRAME_BYTES = 8 * 1024 * 1024

    /** A frame of [bytes] with its length. */
    fun withLengthPrefix(bytes: ByteArray): Buffer = Buffer.buffer(bytes.size + LENGTH_BYTES).appendInt(bytes.size).appendBytes(bytes)

    /** A handler of a connection's bytes that calls [onFrame] with those of each frame, and [onInvalidLength] where a length cannot be. */
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
