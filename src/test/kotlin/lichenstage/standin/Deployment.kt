package lichenstage.standin

import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import java.net.ServerSocket

/** The ports and settings of a loopback deployment with one controller per zone, a state service and a cloud. */
internal class Deployment(
    val zones: List<String>,
) {
    private val allocatedPorts = HashSet<Int>()

    /** The ports on which the controllers serve users and workers, by the number of the controller. */
    val servePorts = zones.map { allocatePort() }

    /** The ports on which the controllers listen to one another. */
    private val clusterPorts = zones.map { allocatePort() }
    val statePort = allocatePort()
    val cloudPort = allocatePort()

    /** The ports to which workers send heartbeats, by the label of the controller. */
    val portsByLabel = zones.indices.associate { "n$it" to servePorts[it] }

    /** Returns a free port that this deployment has not allocated before. */
    fun allocatePort(): Int {
        while (true) {
            val port = ServerSocket(0).use { it.localPort }
            if (allocatedPorts.add(port)) return port
        }
    }

    /**
     * Returns the content of the settings file of a controller. [settings] has the fields of `settings` other than `count`, `zones` and
     * `objectives`.
     */
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

/** Returns the fields of `settings` for a deployment with few machines. [teams] maps the name of each team to its limit in cores. */
internal fun smallSettings(vararg teams: Pair<String, Double>): JsonObject =
    JsonObject()
        .put("teams", JsonArray(teams.map { (name, cores) -> JsonObject().put("name", name).put("cpus", 0.0).put("cpus_max", cores) }))
        .put("workers", JsonObject().put("report_s", 1.0).put("lease_s", 20.0).put("cancel_s", 40.0))
        .put("state", stateSettings(writeRps = 150.0, valueKb = 8.0, txnOps = 12))
        .put("cloud", JsonObject().put("rps", 8.0).put("list_lag_s", 1.0))

/** Returns the limits of the state service, in write requests per second, kilobytes per value and operations per transaction. */
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
