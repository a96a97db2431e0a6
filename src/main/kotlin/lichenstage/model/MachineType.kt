package lichenstage.model

import lichenstage.common.SECOND

/** A machine type that the cloud offers. Prices are per machine and hour; [zones] are the zones in which the type exists. */
data class MachineType(
    val name: String,
    val capacity: Resources,
    val onDemandPrice: Double,
    val spotPrice: Double,
    val bootUs: Long,
    val cacheGb: Double,
    val fetchGbPerS: Double,
    val zones: List<String>,
) {
    /** Returns the time that a machine needs to fetch an image of [gb] GB, in microseconds, if it fetches no other image meanwhile. */
    fun imageFetchUs(gb: Double) = (gb / fetchGbPerS * SECOND).toLong()
}
