package lichenstage.cluster

import io.micrometer.core.instrument.Counter
import io.vertx.core.Vertx
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import lichenstage.common.Clock
import lichenstage.common.MILLI
import lichenstage.config.Settings

/** Exchanges frames with the other controllers, directly or relayed by a third one, and follows which of them are alive. */
class PeerLinks(
    vertx: Vertx,
    private val settings: Settings,
    private val clock: Clock,
    private val scope: CoroutineScope,
    private val isStateServiceAvailable: () -> Boolean,
    frames: Counter,
    frameBytes: Counter,
    private val onFrame: (String, Frame) -> Unit,
) {
    private val liveness = PeerLiveness()
    private val connections = PeerConnections(vertx, settings.label, settings.peers, frames, frameBytes)
    private val server = PeerServer(vertx, settings.clusterListen, ::receive)

    /** Listens for the other controllers, connects to them and sends them pings from now on. */
    fun start() {
        server.start()
        connections.start(scope)
        scope.launch {
            while (isActive) {
                val ping = Ping(isStateServiceAvailable())
                settings.peers.forEach { connections.write(it.label, ping) }
                delay(PeerLiveness.PING_INTERVAL_US / MILLI)
            }
        }
    }

    /** A controller that is healthy, if there is any. */
    fun healthyPeer(): String? = settings.peers.map { it.label }.firstOrNull(::isHealthy)

    /** That controller is reachable, and the state service answers it. */
    fun isHealthy(label: String) = liveness.isHealthy(label, clock.now())

    /** That controller has been healthy, and not running late, for a while. */
    fun isStable(label: String) = liveness.isStable(label, clock.now())

    /**
     * Sends a frame, through a third controller where none come directly from the receiver. A frame that is dropped is made good by a
     * later one; one that comes late or twice is recognized by its receiver.
     */
    fun send(
        to: String,
        frame: Frame,
    ) {
        if (to == settings.label) {
            onFrame(to, frame)
            return
        }
        val relay = if (isReachable(to)) null else settings.peers.firstOrNull { it.label != to && isReachable(it.label) }
        if (relay == null) connections.write(to, frame) else connections.write(relay.label, RelayedFrame(settings.label, to, frame))
    }

    private fun isReachable(label: String) = liveness.isReachable(label, clock.now())

    private fun receive(
        from: String,
        frame: Frame,
    ) {
        liveness.onFrameReceived(from, clock.now())
        when {
            frame is Ping -> liveness.onPingReceived(from, frame, clock.now())
            frame is RelayedFrame && frame.to == settings.label -> onFrame(frame.from, frame.frame)
            frame is RelayedFrame -> connections.write(frame.to, frame)
            else -> onFrame(from, frame)
        }
    }
}
