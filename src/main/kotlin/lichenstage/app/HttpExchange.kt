package lichenstage.app

import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.json.JsonObject
import lichenstage.common.HttpStatus

/** The largest request body, in bytes. */
private const val MAX_BODY_BYTES = 64 * 1024

/** Runs [handle] if the request has the given method, and answers 405 otherwise. */
internal fun HttpServerRequest.requireMethod(
    required: HttpMethod,
    handle: () -> Unit,
) {
    if (method() == required) {
        handle()
    } else {
        response().putHeader("Allow", required.name())
        respondError(HttpStatus.METHOD_NOT_ALLOWED, "wrong method")
    }
}

/** Collects the body and passes it to [handle]; a body over [MAX_BODY_BYTES] is answered with 413 and its connection closed. */
internal fun HttpServerRequest.readBody(handle: (Buffer) -> Unit) {
    val collected = Buffer.buffer()
    var rejected = false
    val announcedBytes = getHeader("Content-Length")?.toLongOrNull() ?: 0

    fun reject() {
        rejected = true
        response().putHeader("Connection", "close")
        respondError(HttpStatus.PAYLOAD_TOO_LARGE, "the body is over 64 KiB")
    }
    if (announcedBytes > MAX_BODY_BYTES) return reject()
    exceptionHandler { rejected = true }
    handler {
        if (!rejected && collected.length() + it.length() > MAX_BODY_BYTES) reject()
        if (!rejected) collected.appendBuffer(it)
    }
    endHandler { if (!rejected) handle(collected) }
}

/** Answers with an error object whose message is [why]. */
internal fun HttpServerRequest.respondError(
    status: Int,
    why: String,
) = respond(status, JsonObject().put("error", why))

/** Answers with a JSON object. */
internal fun HttpServerRequest.respond(
    status: Int,
    json: JsonObject,
) = respond(status, json.toBuffer())

/** Answers with encoded JSON. Does nothing if the response was sent or its connection has been closed. */
internal fun HttpServerRequest.respond(
    status: Int,
    body: Buffer,
) {
    val response = response()
    if (response.ended() || response.closed()) return
    response.setStatusCode(status).putHeader("Content-Type", "application/json").end(body)
}
