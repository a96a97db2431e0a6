package lichenstage.common

import io.vertx.core.Vertx
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.json.JsonObject
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull

class JsonHttpClientTest {
    /**
     * Guards against a connection that is never returned to the pool. The only connection is in use while three requests wait for it and
     * time out. Then the connection becomes free, and the next request needs it.
     */
    @Example
    fun `a request that timed out while it waited for a connection does not keep the connection`() =
        runBlocking {
            val vertx = Vertx.vertx()
            // As in the service, all code runs on one event loop.
            withContext(vertx.orCreateContext.dispatcher()) { timeOutWhileWaiting(vertx) }
            vertx.close().coAwait()
        }

    private suspend fun timeOutWhileWaiting(vertx: Vertx) =
        coroutineScope {
            val heldRequest = CompletableDeferred<HttpServerRequest>()
            val server =
                vertx.createHttpServer().requestHandler {
                    if (it.path() == "/held") heldRequest.complete(it) else it.response().end("{}")
                }
            val port = server.listen(0, "127.0.0.1").coAwait().actualPort()
            val http = JsonHttpClient(vertx, Address("127.0.0.1", port), maxConnections = 1, maxQueuedRequests = 10)
            val first = async { http.call(HttpMethod.GET, "/held", null, LONG_MS) }
            val request = heldRequest.await()
            repeat(3) { assertNull(http.call(HttpMethod.GET, "/given-up", null, 20)) { "got a response without a connection" } }
            request.response().end("{}")
            assertEquals(JsonResponse(200, JsonObject()), first.await()) { "the first request got no response" }
            assertEquals(
                JsonResponse(200, JsonObject()),
                http.call(HttpMethod.GET, "/next", null, LONG_MS),
            ) { "the next request got no connection" }
        }

    private companion object {
        const val LONG_MS = 5_000L
    }
}
