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

/** A response with a JSON body. An empty body is read as an empty object. */
data class JsonResponse(
    val status: Int,
    val body: JsonObject,
)

/**
 * Opens a request that [handle] sends, and returns the result of [handle]; null if this takes longer than [timeoutMs].
 *
 * A request that times out while it waits for a connection still gets a connection from the pool later. It is reset then, because it would
 * otherwise keep that connection forever, and the pool would never recover from a network partition. (On Baile's grown "troubles" day, a
 * controller renewed its lease after a partition of 40 s, but did nothing else until it was restarted.)
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

/** An HTTP client for one service that exchanges JSON. Its connection pool and the queue for connections are bounded. */
class JsonHttpClient(
    vertx: Vertx,
    private val address: Address,
    maxConnections: Int,
    maxQueuedRequests: Int,
) {
    private val client =
        vertx.createHttpClient(
            HttpClientOptions().setKeepAliveTimeout(KEEP_ALIVE_S).setConnectTimeout(CONNECT_TIMEOUT_MS).setPipelining(false),
            PoolOptions().setHttp1MaxSize(maxConnections).setMaxWaitQueueSize(maxQueuedRequests),
        )

    /**
     * Sends a request and returns its response. Returns null, which means that the outcome of the request is indeterminate, if no response
     * arrives within [timeoutMs] or the response is not JSON.
     */
    suspend fun call(
        method: HttpMethod,
        path: String,
        body: JsonObject?,
        timeoutMs: Long,
    ): JsonResponse? =
        @Suppress("TooGenericExceptionCaught") // The outcome is indeterminate after any failure.
        try {
            client.exchange(method, address, path, timeoutMs) { request ->
                val response = (if (body == null) request.send() else request.send(body.toBuffer())).coAwait()
                val text = response.body().coAwait()
                JsonResponse(response.statusCode(), if (text.length() == 0) JsonObject() else JsonObject(text))
            }
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            log.debug("Request failed method={} path={} address={} reason={}", method, path, address, e.message)
            null
        }

    companion object {
        private val log = LoggerFactory.getLogger("lichenstage.app")
        private const val KEEP_ALIVE_S = 60
        private const val CONNECT_TIMEOUT_MS = 1500
    }
}
