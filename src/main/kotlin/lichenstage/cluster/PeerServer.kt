package lichenstage.cluster

import io.vertx.core.Vertx
import io.vertx.core.net.NetServerOptions
import io.vertx.core.net.NetSocket
import lichenstage.common.Address
import org.slf4j.LoggerFactory

/**
 * The server for connections from the other controllers. Once a new process of a controller has connected, the server drops the frames of
 * all earlier processes of that controller (invariant 13).
 */
internal class PeerServer(
    private val vertx: Vertx,
    private val listen: Address,
    private val onFrame: (String, Frame) -> Unit,
) {
    private val log = LoggerFactory.getLogger("lichenstage.cluster")

    /** The highest incarnation that has connected, by controller label. */
    private val newestIncarnations = HashMap<String, Long>()

    /** Starts to listen on the cluster address. */
    fun start() {
        vertx
            .createNetServer(NetServerOptions().setTcpNoDelay(true))
            .connectHandler { Connection(it).start() }
            .listen(listen.port, listen.host)
            .onFailure { log.error("Cluster server failed to listen address={} reason={}", listen, it.message) }
    }

    private inner class Connection(
        private val socket: NetSocket,
    ) {
        private var label: String? = null
        private var incarnation = 0L

        fun start() {
            socket.exceptionHandler { socket.close() }
            socket.handler(FrameStream.createParser(::receive) { socket.close() })
        }

        private fun receive(bytes: ByteArray) {
            val frame =
                try {
                    FrameCodec.decode(bytes)
                } catch (e: FrameDecodingException) {
                    log.info("Frame not decodable controller={} reason={}", label, e.message)
                    return
                }
            if (frame is Hello) onHello(frame) else deliver(frame)
        }

        private fun onHello(hello: Hello) {
            label = hello.label
            incarnation = hello.incarnation
            newestIncarnations.merge(hello.label, hello.incarnation, ::maxOf)
        }

        private fun deliver(frame: Frame) {
            val from = label ?: return
            if (incarnation == newestIncarnations[from]) onFrame(from, frame)
        }
    }
}
