package lichenstage.app

import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.json.JsonObject
import lichenstage.common.HttpStatus

/** The largest request body, in bytes. */
private const val MAX_BODY_BYTES = 64 * 1024

/** Runs [handle] if the request has the required method. Otherwise responds with 405. */
internal fun HttpServerRequest.requireMethod(
    requiredMethod: HttpMethod,
    handle: () -> Unit,
) {
    if (method() == requiredMethod) {
        handle()
    } else {
        response().putHeader("Allow", requiredMethod.name())
        respondError(HttpStatus.METHOD_NOT_ALLOWED, "method: must be $requiredMethod, was ${method()}")
    }
}

/** Reads the body and passes it to [handle]. If the body is larger than [MAX_BODY_BYTES], responds with 413 and closes the connection. */
internal fun HttpServerRequest.readBody(handle: (Buffer) -> Unit) {
    val body = Buffer.buffer()
    var isRejected = false
    val contentLength = getHeader("Content-Length")?.toLongOrNull() ?: 0

    fun reject() {
        isRejected = true
        response().putHeader("Connection", "close")
        respondError(HttpStatus.PAYLOAD_TOO_LARGE, "body: must be at most $MAX_BODY_BYTES bytes")
    }
    if (contentLength > MAX_BODY_BYTES) return reject()
    exceptionHandler { isRejected = true }
    handler {
        if (!isRejected && body.length() + it.length() > MAX_BODY_BYTES) reject()
        if (!isRejected) body.appendBuffer(it)
    }
    endHandler { if (!isRejected) handle(body) }
}

/** Responds with a JSON object that has [message] as its error. */
internal fun HttpServerRequest.respondError(
    status: Int,
    message: String,
) = respond(status, JsonObject().put("error", message))

/** Responds with a JSON object. */
internal fun HttpServerRequest.respond(
    status: Int,
    json: JsonObject,
) = respond(status, json.toBuffer())

/** Responds with encoded JSON. Does nothing if the response has already been sent or the connection is closed. */
internal fun HttpServerRequest.respond(
    status: Int,
    body: Buffer,
) {
    val response = response()
    if (response.ended() || response.closed()) return
    response.setStatusCode(status).putHeader("Content-Type", "application/json").end(body)
}
