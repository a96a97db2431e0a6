package lichenstage.cloud

import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import lichenstage.model.MachineType
import lichenstage.model.Resources

/**
 * The record of machine types in the state service. Controllers of different versions read the record, so its names and their order must
 * not change.
 */
internal object MachineCatalogCodec {
    const val KEY = "f/types"

    private const val TYPES = "types"
    private const val NAME = "name"
    private const val CORES = "cores"
    private const val GPUS = "cards"
    private const val MEMORY_GB = "mem"
    private const val PRICE = "price"
    private const val SPOT_PRICE = "spot"
    private const val BOOT_US = "boot"
    private const val CACHE_GB = "cache"
    private const val FETCH_GB_PER_S = "fetch"
    private const val ZONES = "zones"

    /** The image fetch speed for records that do not contain one. */
    private const val DEFAULT_FETCH_GB_PER_S = 1.0

    fun encode(machineTypes: Collection<MachineType>): JsonObject = JsonObject().put(TYPES, JsonArray(machineTypes.map(::encodeType)))

    private fun encodeType(machineType: MachineType) =
        JsonObject()
            .put(NAME, machineType.name)
            .put(CORES, machineType.capacity.cores)
            .put(GPUS, machineType.capacity.gpus)
            .put(MEMORY_GB, machineType.capacity.memGb)
            .put(PRICE, machineType.price)
            .put(SPOT_PRICE, machineType.spotPrice)
            .put(BOOT_US, machineType.bootUs)
            .apply { if (machineType.cacheGb.isFinite()) put(CACHE_GB, machineType.cacheGb) }
            .put(FETCH_GB_PER_S, machineType.fetchGbPerS)
            .put(ZONES, JsonArray(machineType.zones))

    /** Returns the machine types of a record by name. */
    fun decode(record: JsonObject): Map<String, MachineType> =
        record.getJsonArray(TYPES).map { decodeType(it as JsonObject) }.associateBy { it.name }

    private fun decodeType(row: JsonObject) =
        MachineType(
            name = row.getString(NAME),
            capacity = Resources(row.getDouble(CORES), row.getDouble(GPUS), row.getDouble(MEMORY_GB)),
            price = row.getDouble(PRICE),
            spotPrice = row.getDouble(SPOT_PRICE),
            bootUs = row.getLong(BOOT_US),
            cacheGb = row.getDouble(CACHE_GB) ?: Double.POSITIVE_INFINITY,
            fetchGbPerS = row.getDouble(FETCH_GB_PER_S) ?: DEFAULT_FETCH_GB_PER_S,
            zones = row.getJsonArray(ZONES).map { it as String },
        )
}
