package lichenstage.standin

import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import java.net.ServerSocket

/** A deployment on loopback: one controller a zone, a state service and a cloud, each on a port of its own. */
internal class Deployment(
    val zones: List<String>,
) {
    private val allocatedPorts = HashSet<Int>()
    val servePorts = zones.map { allocatePort() }
    private val clusterPorts = zones.map { allocatePort() }
    val statePort = allocatePort()
    val cloudPort = allocatePort()

    /** The ports to which workers send heartbeats, by label. */
    val portsByLabel = zones.indices.associate { "n$it" to servePorts[it] }

    fun allocatePort(): Int {
        while (true) {
            val port = ServerSocket(0).use { it.localPort }
            if (allocatedPorts.add(port)) return port
        }
    }

    /** The settings file of controller [controller]; [settings] are the fields of `settings` beside the zones. */
    fun settingsJson(
        controller: Int,
        settings: JsonObject,
    ): JsonObject {
        val seeds =
            zones.indices.filter { it != controller }.map {
                JsonObject().put("label", "n$it").put("area", zones[it]).put("addr", "$LOOPBACK:${clusterPorts[it]}")
            }
        return JsonObject()
            .put("label", "n$controller")
            .put("area", zones[controller])
            .put("serve_on", "$LOOPBACK:${servePorts[controller]}")
            .put("cluster_listen", "$LOOPBACK:${clusterPorts[controller]}")
            .put("seeds", JsonArray(seeds))
            .put("endpoints", JsonObject().put("cloud", "$LOOPBACK:$cloudPort").put("state", "$LOOPBACK:$statePort"))
            .put(
                "settings",
                settings
                    .copy()
                    .put("count", zones.size)
                    .put("zones", JsonArray(zones))
                    .put("objectives", JsonArray()),
            )
    }
}

/** The fields of `settings` for a few machines, with the limit in cores of each team. */
internal fun smallSettings(vararg teams: Pair<String, Double>): JsonObject =
    JsonObject()
        .put("teams", JsonArray(teams.map { (name, cores) -> JsonObject().put("name", name).put("cpus", 0.0).put("cpus_max", cores) }))
        .put("workers", JsonObject().put("report_s", 1.0).put("lease_s", 20.0).put("cancel_s", 40.0))
        .put("state", stateSettings(writeRps = 150.0, valueKb = 8.0, txnOps = 12))
        .put("cloud", JsonObject().put("rps", 8.0).put("list_lag_s", 1.0))

/** The limits of the state service. */
internal fun stateSettings(
    writeRps: Double,
    valueKb: Double,
    txnOps: Int,
): JsonObject =
    JsonObject()
        .put("rps", 300.0)
        .put("write_rps", writeRps)
        .put("value_kb", valueKb)
        .put("txn_ops", txnOps)
