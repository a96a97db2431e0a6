package lichenstage.cluster

import io.vertx.core.Vertx
import io.vertx.core.net.NetServerOptions
import io.vertx.core.net.NetSocket
import lichenstage.common.Address
import org.slf4j.LoggerFactory

/** Takes the connections of the other controllers, and drops the frames of processes that have been followed by another (invariant 13). */
internal class PeerServer(
    private val vertx: Vertx,
    private val listen: Address,
    private val onFrame: (String, Frame) -> Unit,
) {
    private val log = LoggerFactory.getLogger("lichenstage.cluster")

    /** The newest process of each controller that has connected, by its incarnation. */
    private val newestIncarnations = HashMap<String, Long>()

    /** Listens from now on. */
    fun start() {
        vertx
            .createNetServer(NetServerOptions().setTcpNoDelay(true))
            .connectHandler { Connection(it).start() }
            .listen(listen.port, listen.host)
            .onFailure { log.error("Cluster address cannot be listened on address={} reason={}", listen, it.message) }
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
                    log.info("Frame could not be decoded controller={} reason={}", label, e.message)
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
