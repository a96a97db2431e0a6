package lichenstage.app

import io.vertx.core.Vertx
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject

/**
 * Stand-ins for the services that a controller needs during the warm-up start ([warmUp]): a state service that is empty and accepts every
 * transaction, a cloud without machines, and one worker, all on one port. Without them the controller would not acquire a lease, and the
 * archive would lack the classes that a leader and an owner of a partition use.
 */
internal class WarmUpServices(
    private val port: Int,
) {
    private val vertx = Vertx.vertx()
    private var revision = 1L

    /** Starts the HTTP server. */
    fun start() {
        vertx
            .createHttpServer()
            .requestHandler { request -> request.body().onSuccess { handleRequest(request) } }
            .listen(port, "127.0.0.1")
    }

    private fun handleRequest(request: HttpServerRequest) {
        val path = request.path()
        when {
            path == "/kv" -> respond(request, JsonObject().put("rows", JsonArray()).put("truncated", false).put(REVISION_FIELD, revision))
            path.startsWith("/kv/") -> respond(request, JsonObject().put(REVISION_FIELD, revision), NOT_FOUND)
            path == "/txn" -> respond(request, JsonObject().put(REVISION_FIELD, ++revision))
            path == "/changes" -> vertx.setTimer(WATCH_DELAY_MS) { respond(request, emptyChanges()) }
            path.startsWith("/leases") -> respond(request, JsonObject().put("tenancy", 1))
            path == "/flavors" -> respond(request, JsonObject().put("builds", JsonArray().add(MACHINE_TYPE)))
            path == "/hosts" && request.method() == HttpMethod.GET -> respond(request, NO_MACHINES)
            path == "/orders" -> respond(request, JsonObject(warmUpHeartbeat(port, sequence = 100, tasks = "")))
            else -> respond(request, JsonObject().put("error", "no capacity"), UNAVAILABLE)
        }
    }

    private fun emptyChanges() = JsonObject().put(REVISION_FIELD, revision).put("events", JsonArray())

    private fun respond(
        request: HttpServerRequest,
        body: JsonObject,
        status: Int = OK,
    ) {
        request.response().setStatusCode(status).end(body.toBuffer())
    }

    private companion object {
        const val REVISION_FIELD = "ledger_rev"
        const val OK = 200
        const val NOT_FOUND = 404
        const val UNAVAILABLE = 503
        const val WATCH_DELAY_MS = 200L
        val NO_MACHINES: JsonObject = JsonObject().put("holdfasts", JsonArray()).put("truncated", false)
        val MACHINE_TYPE =
            JsonObject(
                """{"name":"b","cores":8,"cards":0,"mem_gb":64,"cache_gb":20,"pull_gb_per_s":1.0,
                   "hourly":1.0,"low_price":0.5,"boot_s":30,"yards":["z","y"]}""",
            )
    }
}
