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

/** The HTTP server for users, workers and health checks. It decodes requests, passes them to the actors and writes their replies. */
class HttpApi(
    private val vertx: Vertx,
    private val listenAddress: Address,
    private val jobsActor: JobsActor,
    private val partitionActor: PartitionActor,
    private val metrics: Metrics,
    private val clock: Clock,
    private val connectionBudget: ConnectionBudget,
    private val isHealthy: () -> Boolean,
) {
    private val log = LoggerFactory.getLogger("lichenstage.app")
    private val encodedEmptyReplies = LruMap<Long, Buffer>(MAX_CACHED_REPLIES)

    /** Starts the server. Ends the process if the server can't listen on its address. */
    fun start() {
        vertx
            .createHttpServer(serverOptions())
            .connectionHandler {
                connectionBudget.onConnectionOpened()
                it.closeHandler { connectionBudget.onConnectionClosed() }
            }.requestHandler(::route)
            .listen(listenAddress.port, listenAddress.host)
            .onSuccess { log.info("HTTP server listening address={}", listenAddress) }
            .onFailure { exitOnFailure("HTTP server failed to listen address=$listenAddress", it) }
    }

    /** Returns options for HTTP/1.1 only, because the detection of web sockets and HTTP/2 takes processor time with every request. */
    private fun serverOptions() =
        HttpServerOptions()
            .setTcpNoDelay(true)
            .setIdleTimeout(IDLE_TIMEOUT_S)
            .setHandle100ContinueAutomatically(true)
            .setHttp2ClearTextEnabled(false)
            .setPerFrameWebSocketCompressionSupported(false)
            .setPerMessageWebSocketCompressionSupported(false)
            // All code runs on one event loop, so responses need no queue between threads.
            .setStrictThreadMode(true)

    private fun route(request: HttpServerRequest) {
        val path = request.path()
        recordLatency(request, callerOf(path))
        when {
            path == HEARTBEAT_PATH -> request.requireMethod(HttpMethod.POST) { request.readBody { handleHeartbeat(request, it) } }
            path == JOBS_PATH -> request.requireMethod(HttpMethod.POST) { request.readBody { handleSubmission(request, it) } }
            path == HEALTH_PATH -> request.requireMethod(HttpMethod.GET) { handleHealthCheck(request) }
            path == METRICS_PATH -> request.requireMethod(HttpMethod.GET) { request.response().end(metrics.render()) }
            path != null && path.startsWith(JOB_PATH_PREFIX) -> handleJobRequest(request, path.removePrefix(JOB_PATH_PREFIX))
            else -> request.respondError(HttpStatus.NOT_FOUND, "unknown path")
        }
    }

    private fun callerOf(path: String?) =
        when (path) {
            HEARTBEAT_PATH -> Caller.WORKER
            HEALTH_PATH -> Caller.HEALTH
            else -> Caller.USER
        }

    private fun handleJobRequest(
        request: HttpServerRequest,
        path: String,
    ) {
        val id = path.removeSuffix(CANCEL_SUFFIX)
        if (id.isEmpty() || '/' in id) return request.respondError(HttpStatus.NOT_FOUND, "unknown path")
        if (path.endsWith(CANCEL_SUFFIX)) {
            request.requireMethod(HttpMethod.POST) { request.readBody { handleUserRequest(request, UserVerb.CANCEL, id) } }
        } else {
            request.requireMethod(HttpMethod.GET) { handleUserRequest(request, UserVerb.SHOW, id) }
        }
    }

    private fun handleSubmission(
        request: HttpServerRequest,
        body: Buffer,
    ) = handleUserRequest(request, UserVerb.SUBMIT, body.toString())

    private fun handleUserRequest(
        request: HttpServerRequest,
        verb: UserVerb,
        text: String,
    ) = jobsActor.tell(JobsMessage.UserRequest(verb, text) { respondToUser(request, it) })

    private fun respondToUser(
        request: HttpServerRequest,
        reply: Reply,
    ) {
        if (reply.retryAfterS != null) request.response().putHeader("Retry-After", reply.retryAfterS.toString())
        request.respond(reply.status, reply.body)
    }

    /** Records the time from the receipt of the request until its response has been written. */
    private fun recordLatency(
        request: HttpServerRequest,
        caller: Caller,
    ) {
        val receivedAtUs = clock.now()
        request.response().endHandler { metrics.recordRequest(caller, request.response().statusCode, clock.now() - receivedAtUs) }
    }

    private fun handleHeartbeat(
        request: HttpServerRequest,
        body: Buffer,
    ) {
        val heartbeat =
            try {
                WorkerCodec.decodeHeartbeat(body)
            } catch (e: InvalidHeartbeatException) {
                log.info("Heartbeat rejected remote={} field={} expected={}", request.remoteAddress(), e.field, e.expected)
                return request.respondError(HttpStatus.BAD_REQUEST, "invalid heartbeat: ${e.message}")
            }
        partitionActor.tell(PartitionMessage.HeartbeatReceived(heartbeat) { reply -> respondToHeartbeat(request, reply) })
    }

    private fun respondToHeartbeat(
        request: HttpServerRequest,
        reply: HeartbeatReply,
    ) {
        if (connectionBudget.isExhausted()) request.response().putHeader("Connection", "close")
        when (reply) {
            is HeartbeatReply.Accepted -> request.respond(HttpStatus.OK, encodeReply(reply))
            is HeartbeatReply.Redirect -> request.respond(HttpStatus.MISDIRECTED_REQUEST, WorkerCodec.encodeRedirect(reply.label))
            HeartbeatReply.Unavailable -> request.respondError(HttpStatus.SERVICE_UNAVAILABLE, "heartbeat not accepted now, retry later")
        }
    }

    /** Returns the encoded reply. Most replies have no commands; such a reply is encoded once per fencing token and then cached. */
    private fun encodeReply(reply: HeartbeatReply.Accepted): Buffer =
        if (reply.commands.isEmpty()) {
            encodedEmptyReplies.getOrPut(reply.fencingToken) { WorkerCodec.encodeCommands(reply.fencingToken, emptyList()) }
        } else {
            WorkerCodec.encodeCommands(reply.fencingToken, reply.commands)
        }

    private fun handleHealthCheck(request: HttpServerRequest) {
        if (isHealthy()) {
            request.respond(HttpStatus.OK, JsonObject().put("status", "ok"))
        } else {
            request.respondError(HttpStatus.SERVICE_UNAVAILABLE, "this controller is not ready")
        }
    }

    private companion object {
        const val HEARTBEAT_PATH = "/agent/beat"
        const val HEALTH_PATH = "/healthz"
        const val METRICS_PATH = "/metrics"
        const val JOBS_PATH = "/api/jobs"
        const val JOB_PATH_PREFIX = "$JOBS_PATH/"
        const val CANCEL_SUFFIX = "/cancel"

        /**
         * The number of cached replies. Each owned partition has its own fencing token, and a controller owns fewer partitions than this.
         */
        const val MAX_CACHED_REPLIES = 64

        /**
         * The time after which an idle connection is closed: longer than users wait between polls. Connections that a failure has left open
         * must not use up the sockets.
         */
        const val IDLE_TIMEOUT_S = 60
    }
}
