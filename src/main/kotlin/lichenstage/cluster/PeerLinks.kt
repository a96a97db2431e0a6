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

/** The links to the other controllers, which carry frames directly or through a third controller, and the liveness of these controllers. */
class PeerLinks(
    vertx: Vertx,
    private val settings: Settings,
    private val clock: Clock,
    private val scope: CoroutineScope,
    private val isStateServiceAvailable: () -> Boolean,
    frameCounter: Counter,
    frameByteCounter: Counter,
    private val onFrame: (String, Frame) -> Unit,
) {
    private val liveness = PeerLiveness()
    private val connections = PeerConnections(vertx, settings.label, settings.peers, frameCounter, frameByteCounter)
    private val server = PeerServer(vertx, settings.clusterListenAddress, ::receive)

    /** Starts to listen for the other controllers, to connect to them and to send them pings. */
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

    /** Returns the label of a healthy controller; null if there is none. */
    fun healthyPeer(): String? = settings.peers.map { it.label }.firstOrNull(::isHealthy)

    /** Returns whether the controller [label] is reachable and receives replies from the state service. */
    fun isHealthy(label: String) = liveness.isHealthy(label, clock.now())

    /** Returns whether the controller [label] has been healthy and has sent its pings on time for [PeerLiveness.STABLE_AFTER_US]. */
    fun isStable(label: String) = liveness.isStable(label, clock.now())

    /**
     * Sends [frame] to the controller [to]. If no frames arrive directly from [to], a reachable third controller relays the frame. A frame
     * may be dropped: a later frame makes up for it. The receiver recognizes delayed and duplicated frames.
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
