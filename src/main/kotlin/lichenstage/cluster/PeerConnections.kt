package lichenstage.cluster

import io.micrometer.core.instrument.Counter
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.net.NetClientOptions
import io.vertx.core.net.NetSocket
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import lichenstage.common.timeOfDayUs
import lichenstage.config.Peer
import org.slf4j.LoggerFactory

/** One outgoing connection to each of the other controllers, opened again whenever it has closed. */
internal class PeerConnections(
    vertx: Vertx,
    private val label: String,
    private val peers: List<Peer>,
    private val frames: Counter,
    private val frameBytes: Counter,
) {
    private val log = LoggerFactory.getLogger("lichenstage.cluster")
    private val client = vertx.createNetClient(NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MS).setTcpNoDelay(true))
    private val sockets = HashMap<String, NetSocket>()
    private val incarnation = timeOfDayUs()

    /** Connects to all peers, and keeps the connections for as long as [scope] runs. */
    fun start(scope: CoroutineScope) {
        peers.forEach { peer -> scope.launch { keepConnected(peer) } }
    }

    /** Writes a frame to a peer; drops it where there is no connection, or where the connection does not keep up. */
    fun write(
        to: String,
        frame: Frame,
    ) {
        val socket = sockets[to] ?: return
        if (socket.writeQueueFull()) return
        socket.write(encode(frame))
    }

    private fun encode(frame: Frame): Buffer {
        val bytes = FrameCodec.encode(frame)
        frames.increment()
        frameBytes.increment(bytes.size.toDouble())
        return FrameStream.withLengthPrefix(bytes)
    }

    private suspend fun keepConnected(peer: Peer) {
        var retryMs = MIN_RETRY_MS
        while (true) {
            @Suppress("TooGenericExceptionCaught") // Whatever went wrong, it is tried again.
            try {
                val socket = client.connect(peer.address.port, peer.address.host).coAwait()
                val closed = CompletableDeferred<Unit>()
                socket.closeHandler { closed.complete(Unit) }
                socket.exceptionHandler { socket.close() }
                socket.handler { }
                socket.write(encode(Hello(label, incarnation)))
                sockets[peer.label] = socket
                retryMs = MIN_RETRY_MS
                closed.await()
                sockets.remove(peer.label, socket)
            } catch (e: CancellationException) {
                throw e
            } catch (e: Exception) {
                log.debug("Connection failed controller={} reason={}", peer.label, e.message)
            }
            delay(retryMs)
            retryMs = (retryMs * 2).coerceAtMost(MAX_RETRY_MS)
        }
    }

    private companion object {
        const val CONNECT_TIMEOUT_MS = 1500
        const val MIN_RETRY_MS = 200L
        const val MAX_RETRY_MS = 1000L
    }
}
