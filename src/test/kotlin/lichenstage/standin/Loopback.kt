package lichenstage.standin

import io.vertx.core.Future
import io.vertx.core.Vertx
import io.vertx.core.http.HttpServer
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.json.JsonObject

internal const val LOOPBACK = "127.0.0.1"

/** Starts an HTTP server on loopback. Calls [handle] with each request and its JSON body, which is an empty object if it has none. */
internal fun Vertx.serveJson(
    port: Int,
    handle: (HttpServerRequest, JsonObject) -> Unit,
): Future<HttpServer> =
    createHttpServer()
        .requestHandler { request ->
            request.bodyHandler { buffer -> handle(request, if (buffer.length() > 0) JsonObject(buffer) else JsonObject()) }
        }.listen(port, LOOPBACK)

/** Blocks until the result is there and returns it. Must not be called on an event loop. */
internal fun <T> Future<T>.join(): T = toCompletionStage().toCompletableFuture().join()
