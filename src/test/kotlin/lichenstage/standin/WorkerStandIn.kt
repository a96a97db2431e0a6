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
 * A worker on loopback: sends heartbeats regularly and soon after a change, executes orders under the highest fencing token, and runs
 * tasks for a fixed time.
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
    private val labels = profile.controllers.keys.toList()
    private var target = labels.first()
    private var fencingToken = 0L
    private var agentEpoch = 1L
    private var sequence = 0L
    private var answeredMs = System.currentTimeMillis()
    private val tasks = LinkedHashMap<Pair<String, Long>, Task>()
    private var timer = 0L
    private var lastHeartbeatMs = 0L
    private var isHeartbeatInFlight = false

    /** How often its lease has expired, and when a heartbeat was last answered. */
    val expiries get() = agentEpoch - 1
    val lastAnsweredMs get() = answeredMs
    val address = "$LOOPBACK:$port"
    val neverBoots get() = profile.neverBoots
    var up = false
        private set

    /** Boots the machine, unless it never comes up. */
    fun start() {
        up = !neverBoots
        if (neverBoots) return
        vertx.serveJson(port, ::receive).onSuccess { server = it }
        sendHeartbeat()
    }

    private fun receive(
        request: HttpServerRequest,
        body: JsonObject,
    ) {
        val isOrder = request.path() == "/orders"
        val starts = starts(body)
        val heldMs = if (isOrder && starts.isNotEmpty()) observer.holdOrderMs(starts) else null
        if (heldMs != null) {
            vertx.setTimer(heldMs) {
                observer.heldOrderDue(starts)
                if (up && isValid(body)) execute(body)
            }
            return
        }
        val isRefused = isOrder && !isValid(body)
        if (isOrder && !isRefused) execute(body)
        request.response().setStatusCode(if (isRefused) CONFLICT else OK).end(heartbeat().toBuffer())
    }

    private fun isValid(order: JsonObject) = (order.getLong("warrant") ?: 0) >= fencingToken && order.getLong("tenure") == agentEpoch

    private fun starts(order: JsonObject): List<String> =
        (order.getJsonArray("orders") ?: JsonArray())
            .map { it as JsonObject }
            .filter { it.getString("verb") == "start" }
            .map { it.getString("part") }

    fun stop() {
        up = false
        clearTasks()
        server?.close()
    }

    private fun clearTasks() {
        tasks.filterValues { it.status != "ended" }.keys.forEach { observer.ended(it.first, name) }
        tasks.clear()
    }

    private fun heartbeat(): JsonObject {
        val rows =
            tasks.map { (key, task) ->
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
            .put("tally", ++sequence)
            .put("warrant", fencingToken)
            .put("recall_s", null)
            .put("parts", JsonArray(rows))
    }

    /** Drops the connection to its controller and sends a heartbeat at once over a new one, as after a restart of the network. */
    fun reconnect() {
        client.close()
        client = vertx.createHttpClient()
        isHeartbeatInFlight = false
        sendHeartbeat()
    }

    /** A change is reported before the next heartbeat is due, but not more often than every half second. */
    private fun onChange() {
        if (profile.heartbeatMs <= CHANGE_INTERVAL_MS) return
        scheduleHeartbeat(maxOf(1, lastHeartbeatMs + CHANGE_INTERVAL_MS - System.currentTimeMillis()))
    }

    private fun scheduleHeartbeat(ms: Long) {
        vertx.cancelTimer(timer)
        timer = vertx.setTimer(ms) { sendHeartbeat() }
    }

    private fun sendHeartbeat() {
        if (!up || isHeartbeatInFlight) return
        val sentMs = System.currentTimeMillis()
        isHeartbeatInFlight = true
        lastHeartbeatMs = sentMs
        if (sentMs - answeredMs > profile.leaseMs) {
            clearTasks()
            agentEpoch++
            sequence = 0
            answeredMs = sentMs
        }
        val sentEpoch = agentEpoch
        val sentBy = client
        client
            .request(HttpMethod.POST, profile.controllers.getValue(target), LOOPBACK, "/agent/beat")
            .compose { it.send(heartbeat().toBuffer()) }
            .compose { response -> response.body().map { response.statusCode() to it } }
            .onComplete { answer ->
                // An answer over a connection that was dropped meanwhile is lost.
                if (sentBy !== client) return@onComplete
                isHeartbeatInFlight = false
                val (status, body) = if (answer.succeeded()) answer.result() else (0 to null)
                when {
                    status == OK && JsonObject(body).getLong("warrant") >= fencingToken && sentEpoch == agentEpoch -> {
                        answeredMs = sentMs
                        execute(JsonObject(body))
                        scheduleHeartbeat(profile.heartbeatMs)
                    }

                    status == MISDIRECTED && JsonObject(body).getString("steward") in profile.controllers -> {
                        target = JsonObject(body).getString("steward")
                        scheduleHeartbeat(50)
                    }

                    else -> {
                        target = labels[(labels.indexOf(target) + 1) % labels.size]
                        scheduleHeartbeat(minOf(profile.heartbeatMs, 1000))
                    }
                }
            }
    }

    private fun execute(body: JsonObject) {
        fencingToken = body.getLong("warrant")
        for (row in body.getJsonArray("orders") ?: JsonArray()) {
            row as JsonObject
            val key = row.getString("part") to row.getLong("try")
            when (row.getString("verb")) {
                "start" -> startTask(key)
                "stop" -> tasks[key]?.let { endTask(key, it, TaskEndCause.HALTED) }
                "clear" -> if (tasks[key]?.status == "ended") tasks.remove(key)
            }
        }
    }

    private fun startTask(key: Pair<String, Long>) {
        if (key in tasks) return
        val task = Task("running", null)
        tasks[key] = task
        observer.started(key.first, name)
        onChange()
        vertx.setTimer(profile.runMs) { if (tasks[key] === task) endTask(key, task, TaskEndCause.DONE) }
    }

    private fun endTask(
        key: Pair<String, Long>,
        task: Task,
        cause: String,
    ) {
        if (task.status == "ended") return
        task.status = "ended"
        task.cause = cause
        observer.ended(key.first, name)
        if (cause == TaskEndCause.HALTED) observer.halted(key.first)
        onChange()
    }

    private companion object {
        const val CHANGE_INTERVAL_MS = 500L
        const val OK = 200
        const val CONFLICT = 409
        const val MISDIRECTED = 421
    }
}
