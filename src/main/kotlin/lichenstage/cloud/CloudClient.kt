package lichenstage.cloud

import io.vertx.core.Vertx
import io.vertx.core.http.HttpMethod
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import lichenstage.common.Address
import lichenstage.common.JsonHttp
import lichenstage.common.JsonHttp.Companion.parsed
import lichenstage.common.SECOND
import lichenstage.model.MachineType
import lichenstage.model.Resources

/** Speaks to the cloud. */
class CloudClient(
    vertx: Vertx,
    address: Address,
) {
    private val http = JsonHttp(vertx, address, connections = SOCKETS, queue = 4)

    /** The machine types with their present prices, or null where the cloud does not answer. */
    suspend fun machineTypes(): List<MachineType>? {
        val (status, body) = call(HttpMethod.GET, "/flavors", null) ?: return null
        if (status != 200) return null
        return parsed { body.getJsonArray("builds").map { machineType(it as JsonObject) } }
    }

    private fun machineType(row: JsonObject) =
        MachineType(
            row.getString("name")!!,
            Resources(row.getDouble("cores"), row.getDouble("cards") ?: 0.0, row.getDouble("mem_gb")),
            row.getDouble("hourly"),
            row.getDouble("low_price") ?: row.getDouble("hourly"),
            (row.getDouble("boot_s") * SECOND).toLong(),
            row.getDouble("cache_gb")?.takeIf { it > 0 } ?: Double.POSITIVE_INFINITY,
            row.getDouble("pull_gb_per_s")?.takeIf { it > 0 } ?: 1.0,
            row.getJsonArray("yards").map { it as String },
        )

    /** Rents machines under the hire's name. */
    suspend fun hire(hire: ProvisionRequest): ProvisionResult {
        val request =
            JsonObject()
                .put("hire", hire.name)
                .put("build", hire.typeName)
                .put("yard", hire.zone)
                .put("loaners", hire.spot)
                .put("number", hire.count)
        val (status, body) = call(HttpMethod.POST, "/hosts", request) ?: return ProvisionResult.Indeterminate
        return when {
            status == 200 -> {
                parsed { ProvisionResult.Provisioned(body.getJsonArray("holdfasts").map { it as String }) }
                    ?: ProvisionResult.Indeterminate
            }

            status == 503 && body.getString("error") == "no capacity" -> {
                ProvisionResult.NoCapacity
            }

            status == 400 -> {
                ProvisionResult.NoCapacity
            }

            else -> {
                ProvisionResult.Indeterminate
            }
        }
    }

    /** True where the machines are proven gone. */
    suspend fun giveBack(names: List<String>): Boolean =
        call(HttpMethod.POST, "/hosts/return", JsonObject().put("holdfasts", JsonArray(names)))?.status == 200

    /** One page of the list after [since], or null where the cloud does not answer. */
    suspend fun list(since: String?): MachinePage? {
        val from = if (since == null) "" else "since=$since&"
        val (status, body) = call(HttpMethod.GET, "/hosts?${from}most=500", null) ?: return null
        if (status != 200) return null
        return parsed {
            MachinePage(body.getJsonArray("holdfasts").map { listed(it as JsonObject) }, body.getBoolean("truncated") ?: false)
        }
    }

    private fun listed(row: JsonObject) =
        ListedMachine(
            row.getString("uid")!!,
            row.getString("build")!!,
            row.getString("yard")!!,
            row.getBoolean("loaners") ?: false,
            row.getString("status")!!,
            ((row.getDouble("age_s") ?: 0.0) * SECOND).toLong(),
        )

    private suspend fun call(
        method: HttpMethod,
        path: String,
        body: JsonObject?,
    ) = http.call(method, path, body, TIMEOUT_MS)

    companion object {
        /** The most connections that this client has. */
        const val SOCKETS = 2
        private const val TIMEOUT_MS = 4000L
    }
}
