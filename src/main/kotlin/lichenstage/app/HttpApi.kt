package lichenstage.app

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.HttpServerOptions
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.json.JsonObject
import lichenstage.cluster.UserVerb
import lichenstage.common.Address
import lichenstage.common.Caller
import lichenstage.common.Clock
import lichenstage.common.ConnectionBudget
import lichenstage.common.LruMap
import lichenstage.common.Metrics
import lichenstage.common.exitOnFailure
import lichenstage.jobs.JobsActor
import lichenstage.jobs.JobsMessage
import lichenstage.jobs.Reply
import lichenstage.partition.HeartbeatReply
import lichenstage.partition.InvalidHeartbeatException
import lichenstage.partition.PartitionActor
import lichenstage.partition.PartitionMessage
import lichenstage.partition.WorkerCodec
import org.slf4j.LoggerFactory

/** The one address for users, workers and health checks: reads requests, passes them to the actors, writes answers. */
class HttpApi(
    private val vertx: Vertx,
    private val listen: Address,
    private val jobs: JobsActor,
    private val partition: PartitionActor,
    private val metrics: Metrics,
    private val clock: Clock,
    private val sockets: ConnectionBudget,
    private val healthy: () -> Boolean,
) {
    private val log = LoggerFactory.getLogger("lichenstage.app")
    private val emptyAnswers = LruMap<Long, Buffer>(MOST_TOKENS)

    /** Begins to listen; the process ends where the address can't be used. */
    fun start() {
        vertx
            .createHttpServer(options())
            .connectionHandler {
                sockets.opened()
                it.closeHandler { sockets.closed() }
            }.requestHandler(::route)
            .listen(listen.port, listen.host)
            .onSuccess { log.info("serving on {}", listen) }
            .onFailure { exitOnFailure("$listen can't be used", it) }
    }

    /** Plain HTTP/1.1 only: what would look for web sockets and HTTP/2 in each connection costs with every request. */
    private fun options() =
        HttpServerOptions()
            .setTcpNoDelay(true)
            .setIdleTimeout(IDLE_S)
            .setHandle100ContinueAutomatically(true)
            .setHttp2ClearTextEnabled(false)
            .setPerFrameWebSocketCompressionSupported(false)
            .setPerMessageWebSocketCompressionSupported(false)
            // All is done on the one event loop, so that nothing has to be queued between it and itself.
            .setStrictThreadMode(true)

    private fun route(request: HttpServerRequest) {
        val path = request.path()
        timed(request, caller(path))
        when {
            path == REPORTS -> only(request, HttpMethod.POST) { body(request) { workerReport(request, it) } }
            path == SUBMISSIONS -> only(request, HttpMethod.POST) { body(request) { ask(request, UserVerb.SUBMIT, it.toString()) } }
            path == HEALTH -> only(request, HttpMethod.GET) { health(request) }
            path == METRICS -> only(request, HttpMethod.GET) { request.response().end(metrics.text()) }
            path != null && path.startsWith(JOBS) -> job(request, path.removePrefix(JOBS))
            else -> fail(request, 404, "unknown path")
        }
    }

    private fun caller(path: String?) =
        when (path) {
            REPORTS -> Caller.WORKER
            HEALTH -> Caller.HEALTH
            else -> Caller.USER
        }

    private fun job(
        request: HttpServerRequest,
        rest: String,
    ) {
        val id = rest.removeSuffix("/cancel")
        if (id.isEmpty() || '/' in id) return fail(request, 404, "unknown path")
        if (rest.endsWith("/cancel")) {
            only(request, HttpMethod.POST) { body(request) { ask(request, UserVerb.CANCEL, id) } }
        } else {
            only(request, HttpMethod.GET) { ask(request, UserVerb.SHOW, id) }
        }
    }

    private fun only(
        request: HttpServerRequest,
        method: HttpMethod,
        then: () -> Unit,
    ) {
        if (request.method() == method) {
            then()
        } else {
            request.response().putHeader("Allow", method.name())
            fail(request, 405, "wrong method")
        }
    }

    /** Collects a body of at most 64 KiB; a larger one is refused and its connection closed. */
    private fun body(
        request: HttpServerRequest,
        then: (Buffer) -> Unit,
    ) {
        val collected = Buffer.buffer()
        var refused = false
        val announced = request.getHeader("Content-Length")?.toLongOrNull() ?: 0

        fun refuse() {
            refused = true
            request.response().putHeader("Connection", "close")
            fail(request, 413, "the body is over 64 KiB")
        }
        if (announced > MOST_BODY) return refuse()
        request.exceptionHandler { refused = true }
        request.handler {
            if (!refused && collected.length() + it.length() > MOST_BODY) refuse()
            if (!refused) collected.appendBuffer(it)
        }
        request.endHandler { if (!refused) then(collected) }
    }

    private fun ask(
        request: HttpServerRequest,
        verb: UserVerb,
        text: String,
    ) = jobs.tell(JobsMessage.UserRequest(verb, text) { reply(request, it) })

    /** Times a request of [caller] until its answer is written. */
    private fun timed(
        request: HttpServerRequest,
        caller: Caller,
    ) {
        val beganUs = clock.now()
        request.response().endHandler { metrics.served(caller, request.response().statusCode, clock.now() - beganUs) }
    }

    private fun workerReport(
        request: HttpServerRequest,
        body: Buffer,
    ) {
        val heartbeat =
            try {
                WorkerCodec.decodeHeartbeat(body)
            } catch (e: InvalidHeartbeatException) {
                log.info("Heartbeat rejected remote={} field={} expected={}", request.remoteAddress(), e.field, e.expected)
                return fail(request, 400, "not a report")
            }
        partition.tell(PartitionMessage.HeartbeatReceived(heartbeat) { answer -> answer(request, answer) })
    }

    private fun answer(
        request: HttpServerRequest,
        answer: HeartbeatReply,
    ) {
        if (sockets.crowded()) request.response().putHeader("Connection", "close")
        when (answer) {
            is HeartbeatReply.Accepted -> write(request, 200, accepted(answer))
            is HeartbeatReply.Redirect -> write(request, 421, JsonObject().put("steward", answer.label))
            HeartbeatReply.Unavailable -> fail(request, 503, "not entitled")
        }
    }

    /** Most answers carry no commands: those of a token are encoded once. */
    private fun accepted(answer: HeartbeatReply.Accepted): Buffer =
        if (answer.commands.isEmpty()) {
            emptyAnswers.getOrPut(answer.fencingToken) { WorkerCodec.encodeCommands(answer.fencingToken, emptyList()) }
        } else {
            WorkerCodec.encodeCommands(answer.fencingToken, answer.commands)
        }

    private fun health(request: HttpServerRequest) =
        if (healthy()) write(request, 200, JsonObject().put("status", "ok")) else fail(request, 503, "not ready")

    private fun reply(
        request: HttpServerRequest,
        reply: Reply,
    ) {
        if (reply.retryAfterS != null) request.response().putHeader("Retry-After", reply.retryAfterS.toString())
        write(request, reply.status, reply.body)
    }

    private fun fail(
        request: HttpServerRequest,
        status: Int,
        why: String,
    ) = write(request, status, JsonObject().put("error", why))

    private fun write(
        request: HttpServerRequest,
        status: Int,
        json: JsonObject,
    ) = write(request, status, json.toBuffer())

    private fun write(
        request: HttpServerRequest,
        status: Int,
        body: Buffer,
    ) {
        val response = request.response()
        if (response.ended() || response.closed()) return
        response.setStatusCode(status).putHeader("Content-Type", "application/json").end(body)
    }

    private companion object {
        const val REPORTS = "/agent/beat"
        const val HEALTH = "/healthz"
        const val METRICS = "/metrics"
        const val SUBMISSIONS = "/api/jobs"
        const val JOBS = "$SUBMISSIONS/"

        /** More partitions than one controller owns. */
        const val MOST_TOKENS = 64
        const val MOST_BODY = 64 * 1024

        /** Longer than users wait between polls. What a cut or a crash left open must not fill the sockets. */
        const val IDLE_S = 60
    }
}
