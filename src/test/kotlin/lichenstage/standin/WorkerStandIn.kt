package lichenstage.standin

import io.vertx.core.Vertx
import io.vertx.core.http.HttpClient
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.HttpServer
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject

/**
 * A worker on loopback: reports every [reportMs] and half a second after a change, obeys orders under the highest token, and
 * runs tasks of [runMs].
 */
class WorkerStandIn(
    private val vertx: Vertx,
    private val name: String,
    val zone: String,
    private val port: Int,
    private val controllers: Map<String, Int>,
    private val leaseMs: Long,
    private val runMs: Long,
    private val reportMs: Long,
    private val onStart: (task: String, machine: String) -> Unit,
    private val onEnd: (task: String, machine: String) -> Unit,
    /** A running task was stopped by command. */
    private val onHalt: (task: String) -> Unit = {},
    /** It never comes up. */
    val cold: Boolean = false,
    /** For how long an order with these starts is held, unanswered, before it is carried out; null where it is not. */
    private val holdOrderMs: (tasks: List<String>) -> Long? = { null },
    /** A held order comes to be carried out; its starts. */
    private val onHeldOrder: (tasks: List<String>) -> Unit = {},
) {
    private class Task(
        var status: String,
        var cause: String?,
    )

    private var client: HttpClient = vertx.createHttpClient()
    private var server: HttpServer? = null
    private val labels = controllers.keys.toList()
    private var target = labels.first()
    private var fencingToken = 0L
    private var agentEpoch = 1L
    private var sequence = 0L
    private var answeredMs = System.currentTimeMillis()
    private val tasks = LinkedHashMap<Pair<String, Long>, Task>()
    private var timer = 0L
    private var beatMs = 0L
    private var underWay = false

    /** How often its lease ran out, and when a report was last answered. */
    val expiries get() = agentEpoch - 1
    val lastAnsweredMs get() = answeredMs
    val address = "127.0.0.1:$port"
    var up = false
        private set

    fun start() {
        up = !cold
        if (cold) return
        vertx
            .createHttpServer()
            .requestHandler { request ->
                request.bodyHandler { buffer ->
                    val body = if (buffer.length() > 0) JsonObject(buffer) else JsonObject()
                    val heldMs = starts(body).takeIf { request.path() == "/orders" && it.isNotEmpty() }?.let(holdOrderMs)
                    if (heldMs == null) {
                        val valid = isValid(body)
                        if (request.path() == "/orders" && valid) obey(body)
                        request
                            .response()
                            .setStatusCode(
                                if (request.path() == "/orders" &&
                                    !valid
                                ) {
                                    409
                                } else {
                                    200
                                },
                            ).end(heartbeat().toBuffer())
                    } else {
                        vertx.setTimer(heldMs) {
                            onHeldOrder(starts(body))
                            if (up && isValid(body)) obey(body)
                        }
                    }
                }
            }.listen(port, "127.0.0.1")
            .onSuccess { server = it }
        beat()
    }

    private fun isValid(order: JsonObject) = (order.getLong("warrant") ?: 0) >= fencingToken && order.getLong("tenure") == agentEpoch

    private fun starts(order: JsonObject): List<String> =
        (order.getJsonArray("orders") ?: JsonArray())
            .map { it as JsonObject }
            .filter { it.getString("verb") == "start" }
            .map { it.getString("part") }

    fun stop() {
        up = false
        forget()
        server?.close()
    }

    private fun forget() {
        tasks.filterValues { it.status != "ended" }.keys.forEach { onEnd(it.first, name) }
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

    /** Drops the connection to its controller and reports at once over a new one, as after a restart of the network. */
    fun reconnect() {
        client.close()
        client = vertx.createHttpClient()
        underWay = false
        beat()
    }

    /** A change is reported sooner than the next report is due, but not more often than every half second. */
    private fun changed() {
        if (reportMs > CHANGE_MS) nextBeat(maxOf(1, beatMs + CHANGE_MS - System.currentTimeMillis()))
    }

    private fun nextBeat(ms: Long) {
        vertx.cancelTimer(timer)
        timer = vertx.setTimer(ms) { beat() }
    }

    private fun beat() {
        if (!up || underWay) return
        val sentMs = System.currentTimeMillis()
        underWay = true
        beatMs = sentMs
        if (sentMs - answeredMs > leaseMs) {
            forget()
            agentEpoch++
            sequence = 0
            answeredMs = sentMs
        }
        val forSession = agentEpoch
        val over = client
        client
            .request(HttpMethod.POST, controllers.getValue(target), "127.0.0.1", "/agent/beat")
            .compose { it.send(heartbeat().toBuffer()) }
            .compose { response -> response.body().map { response.statusCode() to it } }
            .onComplete { answer ->
                // Of a connection that was dropped meanwhile nothing is heard.
                if (over !== client) return@onComplete
                underWay = false
                val (status, body) = if (answer.succeeded()) answer.result() else (0 to null)
                when {
                    status == 200 && JsonObject(body).getLong("warrant") >= fencingToken && forSession == agentEpoch -> {
                        answeredMs = sentMs
                        obey(JsonObject(body))
                        nextBeat(reportMs)
                    }

                    status == 421 && JsonObject(body).getString("steward") in controllers -> {
                        target = JsonObject(body).getString("steward")
                        nextBeat(50)
                    }

                    else -> {
                        target = labels[(labels.indexOf(target) + 1) % labels.size]
                        nextBeat(minOf(reportMs, 1000))
                    }
                }
            }
    }

    private fun obey(body: JsonObject) {
        fencingToken = body.getLong("warrant")
        for (row in body.getJsonArray("orders") ?: JsonArray()) {
            row as JsonObject
            val key = row.getString("part") to row.getLong("try")
            when (row.getString("verb")) {
                "start" -> begin(key)
                "stop" -> tasks[key]?.let { end(key, it, "halted") }
                "clear" -> if (tasks[key]?.status == "ended") tasks.remove(key)
            }
        }
    }

    private fun begin(key: Pair<String, Long>) {
        if (key in tasks) return
        val task = Task("running", null)
        tasks[key] = task
        onStart(key.first, name)
        changed()
        vertx.setTimer(runMs) { if (tasks[key] === task) end(key, task, "done") }
    }

    private fun end(
        key: Pair<String, Long>,
        task: Task,
        cause: String,
    ) {
        if (task.status == "ended") return
        task.status = "ended"
        task.cause = cause
        onEnd(key.first, name)
        if (cause == "halted") onHalt(key.first)
        changed()
    }

    private companion object {
        const val CHANGE_MS = 500L
    }
}
