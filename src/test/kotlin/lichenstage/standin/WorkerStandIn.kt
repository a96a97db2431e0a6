package lichenstage.standin

import io.vertx.core.Vertx
import io.vertx.core.http.HttpClient
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.HttpServer
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import lichenstage.cluster.TaskEndCause

/**
 * A stand-in for a worker. It sends heartbeats regularly and soon after a change, executes commands unless they carry an outdated fencing
 * token or another agent epoch, and ends each task after a fixed time.
 */
internal class WorkerStandIn(
    private val vertx: Vertx,
    private val name: String,
    val zone: String,
    private val port: Int,
    private val profile: WorkerProfile,
    private val observer: WorkerObserver,
) {
    private class Task(
        var status: String,
        var cause: String?,
    )

    private var client: HttpClient = vertx.createHttpClient()
    private var server: HttpServer? = null
    private val controllerLabels = profile.controllerPorts.keys.toList()

    /** The label of the controller to which the worker sends its heartbeats. */
    private var targetLabel = controllerLabels.first()
    private var fencingToken = 0L
    private var agentEpoch = 1L
    private var heartbeatNumber = 0L

    /** When the lease began: when the last heartbeat that got a reply was sent, or when the previous lease expired. */
    private var leaseStartedAtMs = System.currentTimeMillis()
    private val tasksByAttempt = LinkedHashMap<Pair<String, Long>, Task>()

    /** The tasks whose result the machine keeps: if one is started again, it exits at once. */
    private val doneTasks = HashSet<String>()
    private var heartbeatTimer = 0L
    private var lastHeartbeatAtMs = 0L
    private var isHeartbeatInFlight = false

    /** The number of times that the lease of this worker has expired. */
    val leaseExpiries get() = agentEpoch - 1

    /** When the last heartbeat that got a reply was sent, or when the lease last expired if that was later. */
    val lastRepliedAtMs get() = leaseStartedAtMs
    val address = "$LOOPBACK:$port"

    /** Whether the machine stays in the state `starting` for good. */
    val neverBoots get() = profile.neverBoots

    /** Whether the worker has been started and not stopped. */
    var isUp = false
        private set

    /** Boots the machine: starts the HTTP server and the heartbeats, unless the profile says that it never boots. */
    fun start() {
        isUp = !neverBoots
        if (neverBoots) return
        vertx.serveJson(port, ::handleRequest).onSuccess { server = it }
        sendHeartbeat()
    }

    /** Handles a direct order or a status request. Both get a heartbeat as the reply, unless the observer delays the order. */
    private fun handleRequest(
        request: HttpServerRequest,
        body: JsonObject,
    ) {
        val isOrder = request.path() == "/orders"
        val startedTasks = startedTasks(body)
        val delayMs = if (isOrder && startedTasks.isNotEmpty()) observer.orderDelayMs(startedTasks) else null
        if (delayMs != null) {
            vertx.setTimer(delayMs) {
                observer.onDelayedOrderDue(startedTasks)
                if (isUp && isValid(body)) execute(body)
            }
            return
        }
        val isRefused = isOrder && !isValid(body)
        if (isOrder && !isRefused) executeWithCopy(body, startedTasks)
        request.response().setStatusCode(if (isRefused) CONFLICT else OK).end(heartbeatJson().toBuffer())
    }

    /** Executes a direct order, and its copy later if the observer wants one. */
    private fun executeWithCopy(
        order: JsonObject,
        startedTasks: List<String>,
    ) {
        execute(order)
        val copyDelayMs = if (startedTasks.isEmpty()) null else observer.orderCopyDelayMs(startedTasks)
        if (copyDelayMs == null) return
        vertx.setTimer(copyDelayMs) {
            observer.onOrderCopyDue(startedTasks)
            if (isUp && isValid(order)) execute(order)
        }
    }

    /** Returns whether the direct order carries the current fencing token, or a higher one, and the current agent epoch. */
    private fun isValid(order: JsonObject) = (order.getLong("warrant") ?: 0) >= fencingToken && order.getLong("tenure") == agentEpoch

    /** Returns the tasks that the direct order starts. */
    private fun startedTasks(order: JsonObject): List<String> =
        (order.getJsonArray("orders") ?: JsonArray())
            .map { it as JsonObject }
            .filter { it.getString("verb") == "start" }
            .map { it.getString("part") }

    /** Stops the machine, which ends all its tasks. */
    fun stop() {
        isUp = false
        clearTasks()
        server?.close()
    }

    /** Drops all tasks and tells the observer that the running ones have ended. */
    private fun clearTasks() {
        tasksByAttempt.filterValues { it.status != "ended" }.keys.forEach { observer.onTaskEnded(it.first, name) }
        tasksByAttempt.clear()
    }

    private fun heartbeatJson(): JsonObject {
        val rows =
            tasksByAttempt.map { (key, task) ->
                JsonObject()
                    .put("part", key.first)
                    .put("try", key.second)
                    .put("status", task.status)
                    .put("cause", task.cause)
            }
        return JsonObject()
            .put("holdfast", name)
            .put("addr", address)
            .put("build", "c4")
            .put("yard", zone)
            .put("loaners", true)
            .put("tenure", agentEpoch)
            .put("tally", ++heartbeatNumber)
            .put("warrant", fencingToken)
            .put("recall_s", null)
            .put("parts", JsonArray(rows))
    }

    /** Closes the connection to the controller and sends a heartbeat at once over a new one, as after a restart of the network. */
    fun reconnect() {
        client.close()
        client = vertx.createHttpClient()
        isHeartbeatInFlight = false
        sendHeartbeat()
    }

    /** Schedules a heartbeat that reports a change before the next one is due, but at most one every [MIN_EARLY_HEARTBEAT_INTERVAL_MS]. */
    private fun scheduleEarlyHeartbeat() {
        if (profile.heartbeatIntervalMs <= MIN_EARLY_HEARTBEAT_INTERVAL_MS) return
        scheduleHeartbeat(maxOf(1, lastHeartbeatAtMs + MIN_EARLY_HEARTBEAT_INTERVAL_MS - System.currentTimeMillis()))
    }

    private fun scheduleHeartbeat(delayMs: Long) {
        vertx.cancelTimer(heartbeatTimer)
        heartbeatTimer = vertx.setTimer(delayMs) { sendHeartbeat() }
    }

    /** Sends a heartbeat. If the lease has expired, first clears all tasks and begins a new agent epoch. */
    private fun sendHeartbeat() {
        if (!isUp || isHeartbeatInFlight) return
        val sentAtMs = System.currentTimeMillis()
        isHeartbeatInFlight = true
        lastHeartbeatAtMs = sentAtMs
        if (sentAtMs - leaseStartedAtMs > profile.leaseMs) {
            clearTasks()
            agentEpoch++
            heartbeatNumber = 0
            leaseStartedAtMs = sentAtMs
        }
        val sentEpoch = agentEpoch
        val sendingClient = client
        client
            .request(HttpMethod.POST, profile.controllerPorts.getValue(targetLabel), LOOPBACK, "/agent/beat")
            .compose { it.send(heartbeatJson().toBuffer()) }
            .compose { response -> response.body().map { response.statusCode() to it } }
            .onComplete { result ->
                // Ignores a reply over a connection that reconnect() has closed since.
                if (sendingClient !== client) return@onComplete
                isHeartbeatInFlight = false
                val (status, body) = if (result.succeeded()) result.result() else (0 to null)
                when {
                    status == OK && JsonObject(body).getLong("warrant") >= fencingToken && sentEpoch == agentEpoch -> {
                        leaseStartedAtMs = sentAtMs
                        execute(JsonObject(body))
                        scheduleHeartbeat(profile.heartbeatIntervalMs)
                    }

                    status == MISDIRECTED && JsonObject(body).getString("steward") in profile.controllerPorts -> {
                        targetLabel = JsonObject(body).getString("steward")
                        scheduleHeartbeat(50)
                    }

                    else -> {
                        targetLabel = controllerLabels[(controllerLabels.indexOf(targetLabel) + 1) % controllerLabels.size]
                        scheduleHeartbeat(minOf(profile.heartbeatIntervalMs, 1000))
                    }
                }
            }
    }

    /** Adopts the fencing token of a direct order or a heartbeat reply, and executes its commands. */
    private fun execute(body: JsonObject) {
        fencingToken = body.getLong("warrant")
        for (row in body.getJsonArray("orders") ?: JsonArray()) {
            row as JsonObject
            val key = row.getString("part") to row.getLong("try")
            when (row.getString("verb")) {
                "start" -> startTask(key)
                "stop" -> tasksByAttempt[key]?.let { endTask(key, it, TaskEndCause.HALTED) }
                "clear" -> if (tasksByAttempt[key]?.status == "ended") tasksByAttempt.remove(key)
            }
        }
    }

    private fun startTask(key: Pair<String, Long>) {
        if (key in tasksByAttempt) return
        val task = Task("running", null)
        tasksByAttempt[key] = task
        observer.onTaskStarted(key.first, name)
        scheduleEarlyHeartbeat()
        if (key.first in doneTasks) return endTask(key, task, TaskEndCause.DONE)
        vertx.setTimer(durationMs(key.first)) { if (tasksByAttempt[key] === task) endTask(key, task, TaskEndCause.DONE) }
    }

    private fun durationMs(task: String): Long {
        val isOdd = task.substringAfter('/').toInt() % 2 == 1
        return if (isOdd) profile.oddTaskFactor * profile.taskDurationMs else profile.taskDurationMs
    }

    private fun endTask(
        key: Pair<String, Long>,
        task: Task,
        cause: String,
    ) {
        if (task.status == "ended") return
        task.status = "ended"
        task.cause = cause
        if (cause == TaskEndCause.DONE) doneTasks += key.first
        observer.onTaskEnded(key.first, name)
        if (cause == TaskEndCause.HALTED) observer.onTaskStopped(key.first)
        scheduleEarlyHeartbeat()
    }

    private companion object {
        const val MIN_EARLY_HEARTBEAT_INTERVAL_MS = 500L
        const val OK = 200
        const val CONFLICT = 409
        const val MISDIRECTED = 421
    }
}
