package lichenstage.part

import io.vertx.core.Vertx
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.PoolOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import lichenstage.app.Address
import lichenstage.app.exchange
import lichenstage.app.parseAddress

/** Sends direct orders to workers. */
class WorkerClient(
    vertx: Vertx,
) {
    private val client =
        vertx.createHttpClient(
            HttpClientOptions().setKeepAliveTimeout(20).setConnectTimeout(1500).setPipelining(false),
            PoolOptions().setHttp1MaxSize(1).setMaxWaitQueueSize(2),
        )

    suspend fun send(
        order: DirectOrder,
        token: Long,
    ): OrderOutcome {
        val address = parseAddress(order.address) ?: return OrderOutcome.NotSent
        return post(address, token, order.session, order.commands)
    }

    /** Has the worker show its report under [token]; null where it can't be had. */
    suspend fun probe(
        probe: Probe,
        token: Long,
    ): Report? {
        val address = parseAddress(probe.address) ?: return null
        // An empty order for a session that isn't the worker's is refused with a report that names the session.
        val first = post(address, token, probe.session, emptyList()) as? OrderOutcome.Answered ?: return null
        if (first.executed) return first.report
        val session = first.report?.session ?: return null
        return (post(address, token, session, emptyList()) as? OrderOutcome.Answered)?.takeIf { it.executed }?.report
    }

    private suspend fun post(
        address: Address,
        token: Long,
        session: Long,
        commands: List<Command>,
    ): OrderOutcome {
        var sent = false
        return try {
            client.exchange(HttpMethod.POST, address, "/orders", TIMEOUT_MS) { request ->
                sent = true
                val response = request.send(WorkerCodec.orders(token, commands, session).toBuffer()).coAwait()
                val body = response.body().coAwait()
                val report = WorkerCodec.report(body)
                when (response.statusCode()) {
                    200 -> OrderOutcome.Answered(true, report)
                    409, 400 -> OrderOutcome.Answered(false, report)
                    else -> OrderOutcome.Unclear
                }
            } ?: unheard(sent)
        } catch (e: CancellationException) {
            throw e
        } catch (_: Exception) {
            unheard(sent)
        }
    }

    /** A connection attempt that was given up does not complete later; all else may still arrive. */
    private fun unheard(sent: Boolean) = if (sent) OrderOutcome.Unclear else OrderOutcome.NotSent

    private companion object {
        const val TIMEOUT_MS = 3000L
    }
}
