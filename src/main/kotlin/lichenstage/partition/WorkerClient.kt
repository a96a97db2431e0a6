package lichenstage.partition

import io.micrometer.core.instrument.Counter
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClientConnection
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpConnectOptions
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.RequestOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import lichenstage.common.Address
import lichenstage.common.Clock
import lichenstage.common.HttpStatus
import lichenstage.common.SECOND
import lichenstage.common.parseAddress

/**
 * Sends direct orders and probes to workers over pooled connections.
 *
 * @param maxConnections how many connections may be open, which may change over time
 * @property requestCounter counts the requests that are sent
 */
class WorkerClient(
    vertx: Vertx,
    private val clock: Clock,
    private val requestCounter: Counter,
    maxConnections: () -> Int,
) {
    private class Response(
        val status: Int,
        val body: Buffer,
    )

    private val client = vertx.createHttpClient(HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MS).setPipelining(false))
    private val connections = ConnectionPool<Address, HttpClientConnection>(maxConnections) { it.close() }

    init {
        vertx.setPeriodic(IDLE_CHECK_INTERVAL_MS) { connections.closeIdleBefore(clock.now() - MAX_IDLE_US) }
    }

    /** How many more requests may be in flight. */
    val availableConnections get() = connections.availableCount

    /** Sends a direct order and waits for its outcome. */
    suspend fun sendOrder(order: DirectOrder): OrderOutcome {
        val address = parseAddress(order.address) ?: return OrderOutcome.NotSent
        return post(address, order.fencingToken, order.agentEpoch, order.commands)
    }

    /** Has the worker show its state under the probe's fencing token; null where it does not answer under it. */
    suspend fun sendProbe(probe: StatusProbe): Heartbeat? {
        val address = parseAddress(probe.address) ?: return null
        // An order for an agent epoch that isn't the worker's is refused with a heartbeat that names the right one.
        val firstOutcome = post(address, probe.fencingToken, probe.agentEpoch, emptyList()) as? OrderOutcome.Replied ?: return null
        if (firstOutcome.isExecuted) return firstOutcome.heartbeat
        val agentEpoch = firstOutcome.heartbeat?.agentEpoch ?: return null
        val secondOutcome = post(address, probe.fencingToken, agentEpoch, emptyList()) as? OrderOutcome.Replied
        return secondOutcome?.takeIf { it.isExecuted }?.heartbeat
    }

    private suspend fun post(
        address: Address,
        fencingToken: Long,
        agentEpoch: Long,
        commands: List<Command>,
    ): OrderOutcome {
        var isSent = false
        requestCounter.increment()
        val response =
            exchange(address) { connection ->
                val request = connection.request(ORDERS_REQUEST).coAwait()
                isSent = true
                val response = request.send(WorkerCodec.encodeCommands(fencingToken, commands, agentEpoch)).coAwait()
                Response(response.statusCode(), response.body().coAwait())
            }
        // A connection attempt that was given up does not complete later; everything else may still arrive.
        if (response == null) return if (isSent) OrderOutcome.Indeterminate else OrderOutcome.NotSent
        return when (response.status) {
            HttpStatus.OK -> OrderOutcome.Replied(true, decodeHeartbeatOrNull(response.body))
            HttpStatus.CONFLICT, HttpStatus.BAD_REQUEST -> OrderOutcome.Replied(false, decodeHeartbeatOrNull(response.body))
            else -> OrderOutcome.Indeterminate
        }
    }

    /** An answer whose heartbeat can't be read proves nothing ([OrderOutcome.verifiedFor]), whatever is wrong with it. */
    private fun decodeHeartbeatOrNull(body: Buffer): Heartbeat? =
        try {
            WorkerCodec.decodeHeartbeat(body)
        } catch (_: InvalidHeartbeatException) {
            null
        }

    /** One request and its response, or null where none came in time. A connection is kept only after a response. */
    private suspend fun exchange(
        address: Address,
        request: suspend (HttpClientConnection) -> Response,
    ): Response? {
        var connection: HttpClientConnection? = connections.acquire(address)
        var hasResponse = false
        try {
            return withTimeoutOrNull(REQUEST_TIMEOUT_MS) {
                val openConnection = connection ?: connect(address).also { connection = it }
                request(openConnection).also { hasResponse = true }
            }
        } catch (e: CancellationException) {
            throw e
        } catch (_: Exception) {
            return null
        } finally {
            if (!hasResponse) connection?.close()
            connections.release(address, connection.takeIf { hasResponse }, clock.now())
        }
    }

    private suspend fun connect(address: Address): HttpClientConnection {
        val pendingConnection = client.connect(HttpConnectOptions().setHost(address.host).setPort(address.port))
        try {
            val connection = pendingConnection.coAwait()
            connection.closeHandler { connections.onClosedByPeer(address, connection) }
            return connection
        } catch (e: CancellationException) {
            // Nobody would use a connection that is made after this.
            pendingConnection.onSuccess { it.close() }
            throw e
        }
    }

    private companion object {
        const val REQUEST_TIMEOUT_MS = 3000L
        const val CONNECT_TIMEOUT_MS = 1500
        const val IDLE_CHECK_INTERVAL_MS = 5000L
        const val MAX_IDLE_US = 20 * SECOND
        val ORDERS_REQUEST: RequestOptions = RequestOptions().setMethod(HttpMethod.POST).setURI("/orders")
    }
}
