package lichenstage.standin

import io.vertx.core.Vertx
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import java.util.concurrent.CompletableFuture

/** A cloud with one machine type that boots at once; each machine is a worker of [WorkerStandIn]. */
internal class CloudStandIn(
    private val vertx: Vertx,
    private val port: Int,
    private val zones: List<String>,
    private val boot: (name: String, zone: String) -> WorkerStandIn,
) {
    private val machines = LinkedHashMap<String, WorkerStandIn>()

    /** The machines that were provisioned, by the name of the request. */
    private val provisioned = HashMap<String, JsonArray>()
    private val terminated = HashSet<String>()

    /** Begins to listen. */
    fun start() {
        vertx.serveJson(port, ::route).join()
    }

    /** Stops all machines, so that none sends heartbeats any more when their event loop is closed. */
    fun stop() {
        val stopped = CompletableFuture<Unit>()
        vertx.runOnContext {
            machines.values.forEach { it.stop() }
            stopped.complete(Unit)
        }
        stopped.join()
    }

    /** Boots machines beforehand, spread over the zones. */
    fun bootAll(count: Int): List<WorkerStandIn> = List(count) { add(zones[it % zones.size]).second }

    private fun add(zone: String): Pair<String, WorkerStandIn> {
        val name = "vm-%06d".format(machines.size)
        val worker = boot(name, zone)
        machines[name] = worker
        worker.start()
        return name to worker
    }

    private fun route(
        request: HttpServerRequest,
        body: JsonObject,
    ) {
        val answer =
            when (request.path()) {
                "/flavors" -> machineTypes()
                "/hosts/return" -> terminate(body)
                "/hosts" -> if (body.isEmpty) list(request) else provision(body)
                else -> JsonObject()
            }
        request.response().end(answer.toBuffer())
    }

    private fun machineTypes() =
        JsonObject().put(
            "builds",
            JsonArray().add(
                JsonObject()
                    .put("name", "c4")
                    .put("cores", 16)
                    .put("cards", 0)
                    .put("mem_gb", 64)
                    .put("cache_gb", 50)
                    .put("pull_gb_per_s", 1.0)
                    .put("hourly", 1.0)
                    .put("low_price", 0.4)
                    .put("boot_s", 1)
                    .put("yards", JsonArray(zones)),
            ),
        )

    private fun provision(body: JsonObject): JsonObject {
        val names =
            provisioned.getOrPut(body.getString("hire")) {
                JsonArray(List(body.getInteger("number")) { add(body.getString("yard")).first })
            }
        return JsonObject().put("holdfasts", names)
    }

    private fun terminate(body: JsonObject): JsonObject {
        body.getJsonArray("holdfasts").forEach {
            terminated += it as String
            machines[it]?.stop()
        }
        return JsonObject()
    }

    private fun list(request: HttpServerRequest): JsonObject {
        val since = request.getParam("since") ?: ""
        val limit = request.getParam("most")?.toInt() ?: DEFAULT_PAGE
        val after = machines.filter { it.key > since && it.key !in terminated && (it.value.up || it.value.neverBoots) }.entries
        val rows =
            after.take(limit).map { (name, worker) ->
                JsonObject()
                    .put("uid", name)
                    .put("addr", worker.address)
                    .put("build", "c4")
                    .put("yard", worker.zone)
                    .put("loaners", true)
                    .put("status", if (worker.up) "running" else "starting")
                    .put("age_s", 1.0)
            }
        return JsonObject().put("holdfasts", JsonArray(rows)).put("truncated", after.size > limit)
    }

    private companion object {
        const val DEFAULT_PAGE = 500
    }
}
