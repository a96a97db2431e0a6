package lichenstage.cloud

import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import lichenstage.model.MachineLimits
import lichenstage.model.MachineType
import lichenstage.model.Resources
import lichenstage.state.Change
import lichenstage.state.KeyValueStoreClient
import lichenstage.state.ReadResult

/**
 * The machine types. Until they have been read once, nothing can be decided about a job's size; so they are kept in the state
 * service too, for a controller that starts while the cloud is in trouble.
 */
class MachineCatalog(
    private val cloud: CloudClient,
    private val state: KeyValueStoreClient,
    private val scope: CoroutineScope,
) {
    var machineTypes: Map<String, MachineType> = emptyMap()
        private set

    val known get() = machineTypes.isNotEmpty()

    /** Reads the machine types now and then. */
    fun start() {
        scope.launch {
            while (isActive) {
                val read = cloud.machineTypes()
                if (read != null && read.isNotEmpty()) {
                    val before = machineTypes
                    machineTypes = read.associateBy { it.name }
                    if (sizes(before) != sizes(machineTypes)) keep()
                } else if (!known) {
                    recall()
                }
                delay(if (known) REFRESH_MS else RETRY_MS)
            }
        }
    }

    /** What machines of a type offer; null where the type is not known. */
    fun limits(name: String): MachineLimits? = machineTypes[name]?.let { MachineLimits(it.name, it.capacity, it.cacheGb) }

    /** Prices move; what a machine holds does not. */
    private fun sizes(of: Map<String, MachineType>) = of.values.map { it.copy(spotPrice = 0.0) }.toSet()

    private suspend fun keep() {
        if ((state.get(KEY) as? ReadResult.Found)?.let { sizes(decode(it.entry.value)) } == sizes(machineTypes)) return
        state.commit(emptyList(), listOf(Change.Put(KEY, encode(machineTypes.values))))
    }

    private suspend fun recall() {
        val kept = (state.get(KEY) as? ReadResult.Found)?.let { decode(it.entry.value) } ?: return
        if (!known) machineTypes = kept
    }

    private fun encode(rows: Collection<MachineType>) =
        JsonObject().put(
            "types",
            JsonArray(
                rows.map {
                    JsonObject()
                        .put("name", it.name)
                        .put("cores", it.capacity.cores)
                        .put("cards", it.capacity.gpus)
                        .put("mem", it.capacity.memGb)
                        .put("price", it.price)
                        .put("spot", it.spotPrice)
                        .put("boot", it.bootUs)
                        .apply { if (it.cacheGb.isFinite()) put("cache", it.cacheGb) }
                        .put("fetch", it.fetchGbPerS)
                        .put("zones", JsonArray(it.zones))
                },
            ),
        )

    private fun decode(value: JsonObject): Map<String, MachineType> =
        value.getJsonArray("types").map { it as JsonObject }.associate {
            val resources = Resources(it.getDouble("cores"), it.getDouble("cards"), it.getDouble("mem"))
            val zones = it.getJsonArray("zones").map { zone -> zone as String }
            val name = it.getString("name")
            val cacheGb = it.getDouble("cache") ?: Double.POSITIVE_INFINITY
            val fetch = it.getDouble("fetch") ?: 1.0
            name to MachineType(name, resources, it.getDouble("price"), it.getDouble("spot"), it.getLong("boot"), cacheGb, fetch, zones)
        }

    private companion object {
        const val KEY = "f/types"
        const val REFRESH_MS = 60_000L
        const val RETRY_MS = 700L
    }
}
