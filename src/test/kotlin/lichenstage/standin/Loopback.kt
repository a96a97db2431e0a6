package lichenstage.standin

import io.vertx.core.Future
import io.vertx.core.Vertx
import io.vertx.core.http.HttpServer
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.json.JsonObject

internal const val LOOPBACK = "127.0.0.1"

/** Serves requests on loopback. [handle] gets each request with its JSON body, which is an empty object where there is none. */
internal fun Vertx.serveJson(
    port: Int,
    handle: (HttpServerRequest, JsonObject) -> Unit,
): Future<HttpServer> =
    createHttpServer()
        .requestHandler { request ->
            request.bodyHandler { buffer -> handle(request, if (buffer.length() > 0) JsonObject(buffer) else JsonObject()) }
        }.listen(port, LOOPBACK)

/** Waits for the result; not to be called on an event loop. */
internal fun <T> Future<T>.join(): T = toCompletionStage().toCompletableFuture().join()
