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
import lichenstage.common.SECOND
import lichenstage.common.parseAddress

/** Sends direct orders to workers, over connections of which [most] may be open. */
class WorkerClient(
    vertx: Vertx,
    private val clock: Clock,
    private val orders: Counter,
    most: () -> Int,
) {
    private class Answer(
        val status: Int,
        val body: Buffer,
    )

    private val client = vertx.createHttpClient(HttpClientOptions().setConnectTimeout(CONNECT_MS).setPipelining(false))
    private val connections = ConnectionPool<Address, HttpClientConnection>(most) { it.close() }

    init {
        vertx.setPeriodic(SWEEP_MS) { connections.sweep(clock.now() - KEEP_US) }
    }

    /** How many more orders may be under way. */
    val free get() = connections.free

    /** Sends a direct order and waits for its outcome. */
    suspend fun send(order: DirectOrder): OrderOutcome {
        val address = parseAddress(order.address) ?: return OrderOutcome.NotSent
        return post(address, order.fencingToken, order.agentEpoch, order.commands)
    }

    /** Has the worker show its report under the probe's token; null where it can't be had. */
    suspend fun probe(probe: StatusProbe): Heartbeat? {
        val address = parseAddress(probe.address) ?: return null
        // An empty order for a session that isn't the worker's is refused with a report that names the session.
        val first = post(address, probe.fencingToken, probe.agentEpoch, emptyList()) as? OrderOutcome.Answered ?: return null
        if (first.executed) return first.heartbeat
        val agentEpoch = first.heartbeat?.agentEpoch ?: return null
        return (post(address, probe.fencingToken, agentEpoch, emptyList()) as? OrderOutcome.Answered)?.takeIf { it.executed }?.heartbeat
    }

    private suspend fun post(
        address: Address,
        fencingToken: Long,
        agentEpoch: Long,
        commands: List<Command>,
    ): OrderOutcome {
        var sent = false
        orders.increment()
        val answer =
            exchange(address) { connection ->
                val request = connection.request(REQUEST).coAwait()
                sent = true
                val response = request.send(WorkerCodec.orders(fencingToken, commands, agentEpoch)).coAwait()
                Answer(response.statusCode(), response.body().coAwait())
            }
        return when (answer?.status) {
            200 -> OrderOutcome.Answered(true, WorkerCodec.heartbeat(answer.body))

            409, 400 -> OrderOutcome.Answered(false, WorkerCodec.heartbeat(answer.body))

            // A connection attempt that was given up does not complete later; all else may still arrive.
            null -> if (sent) OrderOutcome.Indeterminate else OrderOutcome.NotSent

            else -> OrderOutcome.Indeterminate
        }
    }

    /** One request and its answer, or null where none came in time. A connection is kept only after an answer. */
    private suspend fun exchange(
        address: Address,
        talk: suspend (HttpClientConnection) -> Answer,
    ): Answer? {
        var connection: HttpClientConnection? = connections.take(address)
        var answered = false
        try {
            return withTimeoutOrNull(TIMEOUT_MS) {
                val line = connection ?: connect(address).also { connection = it }
                talk(line).also { answered = true }
            }
        } catch (e: CancellationException) {
            throw e
        } catch (_: Exception) {
            return null
        } finally {
            if (!answered) connection?.close()
            connections.give(address, connection.takeIf { answered }, clock.now())
        }
    }

    private suspend fun connect(address: Address): HttpClientConnection {
        val pending = client.connect(HttpConnectOptions().setHost(address.host).setPort(address.port))
        try {
            val connection = pending.coAwait()
            connection.closeHandler { connections.lost(address, connection) }
            return connection
        } catch (e: CancellationException) {
            // One that comes after all is nobody's.
            pending.onSuccess { it.close() }
            throw e
        }
    }

    private companion object {
        const val TIMEOUT_MS = 3000L
        const val CONNECT_MS = 1500
        const val SWEEP_MS = 5000L
        const val KEEP_US = 20 * SECOND
        val REQUEST: RequestOptions = RequestOptions().setMethod(HttpMethod.POST).setURI("/orders")
    }
}
