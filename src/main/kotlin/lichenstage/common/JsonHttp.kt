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

/** An answer with a JSON body. */
data class JsonAnswer(
    val status: Int,
    val body: JsonObject,
)

/**
 * One request to the end of its answer, or null after [timeoutMs].
 *
 * Guards against a pool that never recovers from a cut: a request that was given up while it waited for a connection gets one
 * later, and would hold it for ever. (Seen on Baile's grown "troubles" day: after a cut of 40 s a controller renewed its lease and
 * did nothing else until it was restarted.)
 */
suspend fun <T : Any> HttpClient.exchange(
    method: HttpMethod,
    address: Address,
    path: String,
    timeoutMs: Long,
    talk: suspend (HttpClientRequest) -> T,
): T? =
    withTimeoutOrNull(timeoutMs) {
        val pending = request(method, address.port, address.host, path)
        try {
            val request = pending.coAwait()
            request.idleTimeout(timeoutMs)
            talk(request)
        } catch (e: CancellationException) {
            pending.onSuccess { it.reset() }
            throw e
        }
    }

/** A bounded pool of connections to one service that speaks JSON. */
class JsonHttp(
    vertx: Vertx,
    private val address: Address,
    connections: Int,
    queue: Int,
) {
    private val client =
        vertx.createHttpClient(
            HttpClientOptions().setKeepAliveTimeout(KEEP_S).setConnectTimeout(CONNECT_MS).setPipelining(false),
            PoolOptions().setHttp1MaxSize(connections).setMaxWaitQueueSize(queue),
        )

    /** Status and body of the answer, or null where none came in time or it was no JSON: it decides nothing. */
    suspend fun call(
        method: HttpMethod,
        path: String,
        body: JsonObject?,
        timeoutMs: Long,
    ): JsonAnswer? =
        @Suppress("TooGenericExceptionCaught") // Whatever goes wrong on the way, there is no answer.
        try {
            client.exchange(method, address, path, timeoutMs) { request ->
                val response = (if (body == null) request.send() else request.send(body.toBuffer())).coAwait()
                val text = response.body().coAwait()
                JsonAnswer(response.statusCode(), if (text.length() == 0) JsonObject() else JsonObject(text))
            }
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            log.debug("{} {} at {}: {}", method, path, address, e.message)
            null
        }

    companion object {
        private val log = LoggerFactory.getLogger("lichenstage.app")
        private const val KEEP_S = 60
        private const val CONNECT_MS = 1500

        /** Reads an answer; one of another form than the protocol's counts as none. */
        fun <T : Any> parsed(read: () -> T): T? =
            @Suppress("TooGenericExceptionCaught") // Missing fields, wrong types and casts all mean the same.
            try {
                read()
            } catch (e: RuntimeException) {
                log.info("an answer that can't be read: {}", e.message)
                null
            }
    }
}
