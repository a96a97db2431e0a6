package lichenstage.common

import io.vertx.core.Vertx
import io.vertx.core.http.HttpClient
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpClientRequest
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.PoolOptions
import io.vertx.core.json.JsonObject
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory

/** A response with a JSON body; an empty body counts as an empty object. */
data class JsonResponse(
    val status: Int,
    val body: JsonObject,
)

/**
 * Sends one request and reads its response with [handle]; null after [timeoutMs].
 *
 * Guards against a pool that never recovers from a network partition: a request that was given up while it waited for a connection is
 * handed one later, and would keep it forever. (Seen on Baile's grown "troubles" day: after a partition of 40 s a controller renewed its
 * lease and did nothing else until it was restarted.)
 */
suspend fun <T : Any> HttpClient.exchange(
    method: HttpMethod,
    address: Address,
    path: String,
    timeoutMs: Long,
    handle: suspend (HttpClientRequest) -> T,
): T? =
    withTimeoutOrNull(timeoutMs) {
        val pending = request(method, address.port, address.host, path)
        try {
            val request = pending.coAwait()
            request.idleTimeout(timeoutMs)
            handle(request)
        } catch (e: CancellationException) {
            pending.onSuccess { it.reset() }
            throw e
        }
    }

/** An HTTP client with a bounded connection pool for one service that speaks JSON. */
class JsonHttpClient(
    vertx: Vertx,
    private val address: Address,
    connections: Int,
    queue: Int,
) {
    private val client =
        vertx.createHttpClient(
            HttpClientOptions().setKeepAliveTimeout(KEEP_ALIVE_S).setConnectTimeout(CONNECT_TIMEOUT_MS).setPipelining(false),
            PoolOptions().setHttp1MaxSize(connections).setMaxWaitQueueSize(queue),
        )

    /** Sends a request; null if no response arrived within [timeoutMs] or it was not JSON, so that its outcome is indeterminate. */
    suspend fun call(
        method: HttpMethod,
        path: String,
        body: JsonObject?,
        timeoutMs: Long,
    ): JsonResponse? =
        @Suppress("TooGenericExceptionCaught") // Whatever failed on the way, the outcome is indeterminate.
        try {
            client.exchange(method, address, path, timeoutMs) { request ->
                val response = (if (body == null) request.send() else request.send(body.toBuffer())).coAwait()
                val text = response.body().coAwait()
                JsonResponse(response.statusCode(), if (text.length() == 0) JsonObject() else JsonObject(text))
            }
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            log.debug("Request failed method={} path={} address={} cause={}", method, path, address, e.message)
            null
        }

    companion object {
        private val log = LoggerFactory.getLogger("lichenstage.app")
        private const val KEEP_ALIVE_S = 60
        private const val CONNECT_TIMEOUT_MS = 1500
    }
}
