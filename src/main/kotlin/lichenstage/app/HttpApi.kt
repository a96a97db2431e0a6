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
import lichenstage.common.HttpStatus
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

/** The HTTP server for users, workers and health checks: decodes requests, passes them to the actors and writes their replies. */
class HttpApi(
    private val vertx: Vertx,
    private val listen: Address,
    private val jobs: JobsActor,
    private val partition: PartitionActor,
    private val metrics: Metrics,
    private val clock: Clock,
    private val connectionBudget: ConnectionBudget,
    private val isHealthy: () -> Boolean,
) {
    private val log = LoggerFactory.getLogger("lichenstage.app")
    private val emptyReplies = LruMap<Long, Buffer>(MAX_CACHED_REPLIES)

    /** Starts to listen; ends the process if the address can't be bound. */
    fun start() {
        vertx
            .createHttpServer(options())
            .connectionHandler {
                connectionBudget.opened()
                it.closeHandler { connectionBudget.closed() }
            }.requestHandler(::route)
            .listen(listen.port, listen.host)
            .onSuccess { log.info("HTTP server listening address={}", listen) }
            .onFailure { exitOnFailure("$listen can't be used", it) }
    }

    /** Plain HTTP/1.1 only: detecting web sockets and HTTP/2 takes processor time with every request. */
    private fun options() =
        HttpServerOptions()
            .setTcpNoDelay(true)
            .setIdleTimeout(IDLE_S)
            .setHandle100ContinueAutomatically(true)
            .setHttp2ClearTextEnabled(false)
            .setPerFrameWebSocketCompressionSupported(false)
            .setPerMessageWebSocketCompressionSupported(false)
            // Everything runs on one event loop, so responses need no queue between threads.
            .setStrictThreadMode(true)

    private fun route(request: HttpServerRequest) {
        val path = request.path()
        measure(request, callerOf(path))
        when {
            path == HEARTBEATS -> request.requireMethod(HttpMethod.POST) { request.readBody { heartbeat(request, it) } }
            path == SUBMISSIONS -> request.requireMethod(HttpMethod.POST) { request.readBody { submit(request, it) } }
            path == HEALTH -> request.requireMethod(HttpMethod.GET) { health(request) }
            path == METRICS -> request.requireMethod(HttpMethod.GET) { request.response().end(metrics.render()) }
            path != null && path.startsWith(JOBS) -> job(request, path.removePrefix(JOBS))
            else -> request.respondError(HttpStatus.NOT_FOUND, "unknown path")
        }
    }

    private fun callerOf(path: String?) =
        when (path) {
            HEARTBEATS -> Caller.WORKER
            HEALTH -> Caller.HEALTH
            else -> Caller.USER
        }

    private fun job(
        request: HttpServerRequest,
        path: String,
    ) {
        val id = path.removeSuffix(CANCEL)
        if (id.isEmpty() || '/' in id) return request.respondError(HttpStatus.NOT_FOUND, "unknown path")
        if (path.endsWith(CANCEL)) {
            request.requireMethod(HttpMethod.POST) { request.readBody { userRequest(request, UserVerb.CANCEL, id) } }
        } else {
            request.requireMethod(HttpMethod.GET) { userRequest(request, UserVerb.SHOW, id) }
        }
    }

    private fun submit(
        request: HttpServerRequest,
        body: Buffer,
    ) = userRequest(request, UserVerb.SUBMIT, body.toString())

    private fun userRequest(
        request: HttpServerRequest,
        verb: UserVerb,
        text: String,
    ) = jobs.tell(JobsMessage.UserRequest(verb, text) { reply(request, it) })

    private fun reply(
        request: HttpServerRequest,
        reply: Reply,
    ) {
        if (reply.retryAfterS != null) request.response().putHeader("Retry-After", reply.retryAfterS.toString())
        request.respond(reply.status, reply.body)
    }

    /** Records how long the request takes until its response has been written. */
    private fun measure(
        request: HttpServerRequest,
        caller: Caller,
    ) {
        val receivedUs = clock.now()
        request.response().endHandler { metrics.recordRequest(caller, request.response().statusCode, clock.now() - receivedUs) }
    }

    private fun heartbeat(
        request: HttpServerRequest,
        body: Buffer,
    ) {
        val heartbeat =
            try {
                WorkerCodec.decodeHeartbeat(body)
            } catch (e: InvalidHeartbeatException) {
                log.info("Heartbeat rejected remote={} field={} expected={}", request.remoteAddress(), e.field, e.expected)
                return request.respondError(HttpStatus.BAD_REQUEST, "not a report")
            }
        partition.tell(PartitionMessage.HeartbeatReceived(heartbeat) { reply -> heartbeatReply(request, reply) })
    }

    private fun heartbeatReply(
        request: HttpServerRequest,
        reply: HeartbeatReply,
    ) {
        if (connectionBudget.isExhausted()) request.response().putHeader("Connection", "close")
        when (reply) {
            is HeartbeatReply.Accepted -> request.respond(HttpStatus.OK, encoded(reply))
            is HeartbeatReply.Redirect -> request.respond(HttpStatus.MISDIRECTED_REQUEST, WorkerCodec.encodeRedirect(reply.label))
            HeartbeatReply.Unavailable -> request.respondError(HttpStatus.SERVICE_UNAVAILABLE, "not entitled")
        }
    }

    /** Most replies carry no commands: those are encoded once for each fencing token. */
    private fun encoded(reply: HeartbeatReply.Accepted): Buffer =
        if (reply.commands.isEmpty()) {
            emptyReplies.getOrPut(reply.fencingToken) { WorkerCodec.encodeCommands(reply.fencingToken, emptyList()) }
        } else {
            WorkerCodec.encodeCommands(reply.fencingToken, reply.commands)
        }

    private fun health(request: HttpServerRequest) {
        if (isHealthy()) {
            request.respond(HttpStatus.OK, JsonObject().put("status", "ok"))
        } else {
            request.respondError(HttpStatus.SERVICE_UNAVAILABLE, "not ready")
        }
    }

    private companion object {
        const val HEARTBEATS = "/agent/beat"
        const val HEALTH = "/healthz"
        const val METRICS = "/metrics"
        const val SUBMISSIONS = "/api/jobs"
        const val JOBS = "$SUBMISSIONS/"
        const val CANCEL = "/cancel"

        /** More than the partitions that one controller owns, each of which has a token of its own. */
        const val MAX_CACHED_REPLIES = 64

        /** Longer than users wait between polls; connections that a failure left open must not use up the sockets. */
        const val IDLE_S = 60
    }
}
