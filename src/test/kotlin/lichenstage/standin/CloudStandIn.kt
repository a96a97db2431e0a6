package lichenstage.standin

import io.vertx.core.Vertx
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import java.util.concurrent.CompletableFuture

/** A stand-in for the cloud API, with one machine type. Each machine is a [WorkerStandIn] that boots at once or never. */
internal class CloudStandIn(
    private val vertx: Vertx,
    private val port: Int,
    private val zones: List<String>,
    private val createWorker: (name: String, zone: String) -> WorkerStandIn,
) {
    private val machines = LinkedHashMap<String, WorkerStandIn>()

    /** The names of the machines provisioned for each request, by the name of the request. A repeated request gets the same machines. */
    private val provisionedByRequest = HashMap<String, JsonArray>()

    /** The names of the machines that were terminated. */
    private val terminatedMachines = HashSet<String>()

    /** Starts the HTTP server and waits until it listens. */
    fun start() {
        vertx.serveJson(port, ::route).join()
    }

    /** Stops all machines, so that none sends a heartbeat after its event loop is closed. */
    fun stop() {
        val stopped = CompletableFuture<Unit>()
        vertx.runOnContext {
            machines.values.forEach { it.stop() }
            stopped.complete(Unit)
        }
        stopped.join()
    }

    /** Boots [count] machines without a provision request, spread evenly over the zones. */
    fun bootMachines(count: Int): List<WorkerStandIn> = List(count) { bootMachine(zones[it % zones.size]).second }

    /** Creates and starts the worker of a new machine, and returns the name of the machine with the worker. */
    private fun bootMachine(zone: String): Pair<String, WorkerStandIn> {
        val name = "vm-%06d".format(machines.size)
        val worker = createWorker(name, zone)
        machines[name] = worker
        worker.start()
        return name to worker
    }

    private fun route(
        request: HttpServerRequest,
        body: JsonObject,
    ) {
        val reply =
            when (request.path()) {
                "/flavors" -> machineTypes()
                "/hosts/return" -> terminate(body)
                "/hosts" -> if (body.isEmpty) listMachines(request) else provision(body)
                else -> JsonObject()
            }
        request.response().end(reply.toBuffer())
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

    /** Boots the requested number of machines in a zone. A repeated request boots no further machines. */
    private fun provision(body: JsonObject): JsonObject {
        val names =
            provisionedByRequest.getOrPut(body.getString("hire")) {
                JsonArray(List(body.getInteger("number")) { bootMachine(body.getString("yard")).first })
            }
        return JsonObject().put("holdfasts", names)
    }

    private fun terminate(body: JsonObject): JsonObject {
        body.getJsonArray("holdfasts").forEach {
            terminatedMachines += it as String
            machines[it]?.stop()
        }
        return JsonObject()
    }

    /** Lists a page of the machines after a name. A machine that has stopped is not listed. */
    private fun listMachines(request: HttpServerRequest): JsonObject {
        val afterName = request.getParam("since") ?: ""
        val limit = request.getParam("most")?.toInt() ?: DEFAULT_PAGE_SIZE
        val matchingMachines =
            machines
                .filter { it.key > afterName && it.key !in terminatedMachines && (it.value.isUp || it.value.neverBoots) }
                .entries
        val rows =
            matchingMachines.take(limit).map { (name, worker) ->
                JsonObject()
                    .put("uid", name)
                    .put("addr", worker.address)
                    .put("build", "c4")
                    .put("yard", worker.zone)
                    .put("loaners", true)
                    .put("status", if (worker.isUp) "running" else "starting")
                    .put("age_s", 1.0)
            }
        return JsonObject().put("holdfasts", JsonArray(rows)).put("truncated", matchingMachines.size > limit)
    }

    private companion object {
        const val DEFAULT_PAGE_SIZE = 500
    }
}
