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
 * @param maxConnections returns the current limit on open connections
 * @property requestCounter counts requests, including those for which no connection could be established
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

    /** The number of additional requests that may be in flight. */
    val availableConnections get() = connections.availableCount

    /** Sends a direct order and returns its outcome. */
    suspend fun sendOrder(order: DirectOrder): OrderOutcome {
        val address = parseAddress(order.address) ?: return OrderOutcome.NotSent
        return post(address, order.fencingToken, order.agentEpoch, order.commands)
    }

    /**
     * Sends an order without commands, so that the worker shows its state under the probe's fencing token. Returns null if the worker does
     * not reply or refuses the order.
     */
    suspend fun sendProbe(probe: StatusProbe): Heartbeat? {
        val address = parseAddress(probe.address) ?: return null
        // A worker refuses an order for another agent epoch than its own. Its reply contains a heartbeat with the current epoch.
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
        // A cancelled connection attempt sends nothing later. A request that was begun may still reach the worker.
        if (response == null) return if (isSent) OrderOutcome.Indeterminate else OrderOutcome.NotSent
        return when (response.status) {
            HttpStatus.OK -> OrderOutcome.Replied(true, decodeHeartbeatOrNull(response.body))
            HttpStatus.CONFLICT, HttpStatus.BAD_REQUEST -> OrderOutcome.Replied(false, decodeHeartbeatOrNull(response.body))
            else -> OrderOutcome.Indeterminate
        }
    }

    /** Returns null for a body that is not a valid heartbeat. Such a reply proves nothing about the order ([OrderOutcome.verifiedFor]). */
    private fun decodeHeartbeatOrNull(body: Buffer): Heartbeat? =
        try {
            WorkerCodec.decodeHeartbeat(body)
        } catch (_: InvalidHeartbeatException) {
            null
        }

    /**
     * Sends one request and returns the response, or null if the request failed or no response came in time. The connection is kept for
     * later requests only if a response came.
     */
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
            // The caller has given up, so a connection that is established later has to be closed here.
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
