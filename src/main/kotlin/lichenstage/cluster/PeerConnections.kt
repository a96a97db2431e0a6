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

/** Outgoing connections, one to each other controller, which are reopened after they close. */
internal class PeerConnections(
    vertx: Vertx,
    private val label: String,
    private val peers: List<Peer>,
    private val frameCounter: Counter,
    private val frameByteCounter: Counter,
) {
    private val log = LoggerFactory.getLogger("lichenstage.cluster")
    private val client = vertx.createNetClient(NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MS).setTcpNoDelay(true))
    private val sockets = HashMap<String, NetSocket>()
    private val incarnation = timeOfDayUs()

    /** Connects to all peers and reconnects after failures until [scope] is cancelled. */
    fun start(scope: CoroutineScope) {
        peers.forEach { peer -> scope.launch { keepConnected(peer) } }
    }

    /** Writes [frame] to the peer [to]. Drops the frame if there is no connection or the write queue of the connection is full. */
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
        frameCounter.increment()
        frameByteCounter.increment(bytes.size.toDouble())
        return FrameStream.withLengthPrefix(bytes)
    }

    private suspend fun keepConnected(peer: Peer) {
        var retryMs = MIN_RETRY_MS
        while (true) {
            @Suppress("TooGenericExceptionCaught") // Any failure leads to a new attempt to connect.
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
