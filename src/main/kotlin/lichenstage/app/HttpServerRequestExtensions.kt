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
    requiredMethod: HttpMethod,
    handle: () -> Unit,
) {
    if (method() == requiredMethod) {
        handle()
    } else {
        response().putHeader("Allow", requiredMethod.name())
        respondError(HttpStatus.METHOD_NOT_ALLOWED, "wrong method")
    }
}

/** Collects the body and passes it to [handle]; a body over [MAX_BODY_BYTES] is answered with 413 and its connection closed. */
internal fun HttpServerRequest.readBody(handle: (Buffer) -> Unit) {
    val body = Buffer.buffer()
    var isRejected = false
    val contentLength = getHeader("Content-Length")?.toLongOrNull() ?: 0

    fun reject() {
        isRejected = true
        response().putHeader("Connection", "close")
        respondError(HttpStatus.PAYLOAD_TOO_LARGE, "the body is over 64 KiB")
    }
    if (contentLength > MAX_BODY_BYTES) return reject()
    exceptionHandler { isRejected = true }
    handler {
        if (!isRejected && body.length() + it.length() > MAX_BODY_BYTES) reject()
        if (!isRejected) body.appendBuffer(it)
    }
    endHandler { if (!isRejected) handle(body) }
}

/** Answers with an error object whose message is [message]. */
internal fun HttpServerRequest.respondError(
    status: Int,
    message: String,
) = respond(status, JsonObject().put("error", message))

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
