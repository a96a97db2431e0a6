package lichenstage.cluster

import io.micrometer.core.instrument.Counter
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.net.NetClientOptions
import io.vertx.core.net.NetServerOptions
import io.vertx.core.net.NetSocket
import io.vertx.core.parsetools.RecordParser
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import lichenstage.common.Clock
import lichenstage.common.MILLI
import lichenstage.common.SECOND
import lichenstage.common.timeOfDayUs
import lichenstage.config.Peer
import lichenstage.config.Settings
import org.slf4j.LoggerFactory

/** One outgoing connection to each of the other controllers, and the server that takes theirs. */
class PeerLinks(
    private val vertx: Vertx,
    private val settings: Settings,
    private val clock: Clock,
    private val scope: CoroutineScope,
    private val stateAnswers: () -> Boolean,
    private val frames: Counter,
    private val frameBytes: Counter,
    private val received: (String, Frame) -> Unit,
) {
    private val log = LoggerFactory.getLogger("lichenstage.cluster")
    private val sockets = HashMap<String, NetSocket>()
    private val heardUs = HashMap<String, Long>()
    private val wellSinceUs = HashMap<String, Long>()
    private val answeredByState = HashMap<String, Boolean>()
    private val punctuality = HashMap<String, PingPunctuality>()

    /** Of each controller, the newest process that has connected. */
    private val lives = HashMap<String, Long>()
    private val incarnation = timeOfDayUs()
    private val client = vertx.createNetClient(NetClientOptions().setConnectTimeout(1500).setTcpNoDelay(true))

    /** Listens for the other controllers and connects to them. */
    fun start() {
        vertx
            .createNetServer(NetServerOptions().setTcpNoDelay(true))
            .connectHandler(::accept)
            .listen(settings.clusterListen.port, settings.clusterListen.host)
            .onFailure { log.error("cluster address {} can't be used: {}", settings.clusterListen, it.message) }
        settings.peers.forEach { peer -> scope.launch { keep(peer) } }
        scope.launch {
            while (isActive) {
                val ping = Ping(stateAnswers())
                settings.peers.forEach { write(it.label, ping) }
                delay(PING_MS)
            }
        }
    }

    /** Another controller is in reach that the state service answers. */
    fun peerWithState(): String? = settings.peers.map { it.label }.firstOrNull(::isWell)

    /** That controller is in reach, and the state service answers it. */
    fun isWell(label: String) = direct(label) && answeredByState[label] == true

    /** That controller has been in reach, answered by the state service, and not running late, for a while. */
    fun steady(label: String): Boolean {
        val now = clock.now()
        return isWell(label) && now - (wellSinceUs[label] ?: now) > STEADY_US &&
            punctuality[label]?.isPunctual(now) == true
    }

    private fun direct(label: String) = clock.now() - (heardUs[label] ?: (Long.MIN_VALUE / 2)) < SILENT_US

    /**
     * Sends a frame, through a third controller where the straight way is silent. One that is dropped is made good by a
     * later one; one that comes late or twice is seen as such by its receiver.
     */
    fun send(
        label: String,
        frame: Frame,
    ) {
        if (label == settings.label) {
            received(label, frame)
            return
        }
        val agent = if (direct(label)) null else settings.peers.firstOrNull { it.label != label && direct(it.label) }
        if (agent == null) write(label, frame) else write(agent.label, RelayedFrame(settings.label, label, frame))
    }

    private fun write(
        label: String,
        frame: Frame,
    ) {
        val socket = sockets[label] ?: return
        if (socket.writeQueueFull()) return
        socket.write(packed(frame))
    }

    private fun packed(frame: Frame): Buffer {
        val bytes = FrameCodec.encode(frame)
        frames.increment()
        frameBytes.increment(bytes.size.toDouble())
        return Buffer.buffer(bytes.size + 4).appendInt(bytes.size).appendBytes(bytes)
    }

    private suspend fun keep(peer: Peer) {
        var pauseMs = 200L
        while (true) {
            @Suppress("TooGenericExceptionCaught") // Whatever went wrong, it is tried again.
            try {
                val socket = client.connect(peer.address.port, peer.address.host).coAwait()
                val closed = kotlinx.coroutines.CompletableDeferred<Unit>()
                socket.closeHandler { closed.complete(Unit) }
                socket.exceptionHandler { socket.close() }
                socket.handler { }
                socket.write(packed(Hello(settings.label, incarnation)))
                sockets[peer.label] = socket
                pauseMs = 200
                closed.await()
                sockets.remove(peer.label, socket)
            } catch (e: kotlinx.coroutines.CancellationException) {
                throw e
            } catch (e: Exception) {
                log.debug("no connection to {}: {}", peer.label, e.message)
            }
            delay(pauseMs)
            pauseMs = (pauseMs * 2).coerceAtMost(1000)
        }
    }

    private fun accept(socket: NetSocket) {
        var label: String? = null
        var itsLife = 0L
        var length = -1
        val parser = RecordParser.newFixed(4)
        parser.handler { buffer ->
            if (length < 0) {
                length = buffer.getInt(0)
                if (length !in 1..MAX_FRAME) socket.close() else parser.fixedSizeMode(length)
            } else {
                length = -1
                parser.fixedSizeMode(4)
                val frame =
                    @Suppress("TooGenericExceptionCaught") // A decoder of unknown bytes may throw anything.
                    try {
                        FrameCodec.decode(buffer.bytes)
                    } catch (e: Exception) {
                        log.info("a frame that can't be read from {}: {}", label, e.message)
                        null
                    }
                val from = label
                when {
                    frame is Hello -> {
                        label = frame.label
                        itsLife = frame.incarnation
                        lives.merge(frame.label, frame.incarnation, ::maxOf)
                    }

                    // What a process had under way that has been followed by another is not heard any more.
                    frame != null && from != null && itsLife == lives[from] -> {
                        take(from, frame)
                    }
                }
            }
        }
        socket.exceptionHandler { socket.close() }
        socket.handler(parser)
    }

    private fun take(
        from: String,
        frame: Frame,
    ) {
        // A silence starts the count anew: its process may have been another.
        if (!direct(from)) wellSinceUs.remove(from)
        heardUs[from] = clock.now()
        when {
            frame is Ping -> noted(from, frame)
            frame is RelayedFrame && frame.to == settings.label -> received(frame.from, frame.frame)
            frame is RelayedFrame -> write(frame.to, frame)
            else -> received(from, frame)
        }
    }

    private fun noted(
        from: String,
        ping: Ping,
    ) {
        answeredByState[from] = ping.stateAnswers
        punctuality.getOrPut(from) { PingPunctuality(STEADY_US, PING_MS * MILLI) }.pinged(clock.now())
        if (ping.stateAnswers) wellSinceUs.putIfAbsent(from, clock.now()) else wellSinceUs.remove(from)
    }

    private companion object {
        const val STEADY_US = 8 * SECOND
        const val PING_MS = 700L
        const val SILENT_US = 2200 * MILLI
        const val MAX_FRAME = 8 * 1024 * 1024
    }
}
