package lichenstage.cloud

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import lichenstage.model.MachineLimits
import lichenstage.model.MachineType
import lichenstage.state.Change
import lichenstage.state.KeyValueStore
import lichenstage.state.ReadResult

/**
 * The machine types that the cloud offers.
 *
 * Without machine types, the size of a submitted job cannot be checked. The types are therefore also stored in the state service, for a
 * controller that starts during an outage of the cloud.
 */
class MachineCatalog(
    private val cloud: Cloud,
    private val store: KeyValueStore,
    private val scope: CoroutineScope,
) {
    /** The machine types by name; empty until they have been loaded for the first time. */
    var machineTypes: Map<String, MachineType> = emptyMap()
        private set

    /** Whether the machine types have been loaded from the cloud or from the state service. */
    val isLoaded get() = machineTypes.isNotEmpty()

    /** Starts a loop that reads the machine types until the scope is cancelled. Repeated reads are needed because spot prices change. */
    fun start() {
        scope.launch {
            while (isActive) {
                refresh()
                delay(if (isLoaded) REFRESH_INTERVAL_MS else RETRY_INTERVAL_MS)
            }
        }
    }

    /** Returns the limits of machines of the type [name]; null if the type is unknown. */
    fun limitsOf(name: String): MachineLimits? = machineTypes[name]?.let { MachineLimits(it.name, it.capacity, it.cacheGb) }

    private suspend fun refresh() {
        val offeredTypes = (cloud.listMachineTypes() as? CloudReply.Success)?.value.orEmpty()
        if (offeredTypes.isNotEmpty()) {
            val previousTypes = machineTypes
            machineTypes = offeredTypes.associateBy { it.name }
            if (withoutSpotPrices(previousTypes) != withoutSpotPrices(machineTypes)) persist()
        } else if (!isLoaded) {
            restore()
        }
    }

    private suspend fun persist() {
        val storedTypes = (store.get(MachineCatalogCodec.KEY) as? ReadResult.Found)?.let { MachineCatalogCodec.decode(it.entry.value) }
        if (storedTypes != null && withoutSpotPrices(storedTypes) == withoutSpotPrices(machineTypes)) return
        store.commit(emptyList(), listOf(Change.Put(MachineCatalogCodec.KEY, MachineCatalogCodec.encode(machineTypes.values))))
    }

    private suspend fun restore() {
        val storedTypes =
            (store.get(MachineCatalogCodec.KEY) as? ReadResult.Found)?.let { MachineCatalogCodec.decode(it.entry.value) } ?: return
        if (!isLoaded) machineTypes = storedTypes
    }

    /** Returns the types without their spot prices. Spot prices change all the time, and such a change is no reason to write the record. */
    private fun withoutSpotPrices(machineTypes: Map<String, MachineType>) = machineTypes.values.map { it.copy(spotPrice = 0.0) }.toSet()

    private companion object {
        const val REFRESH_INTERVAL_MS = 60_000L
        const val RETRY_INTERVAL_MS = 700L
    }
}
