package lichenstage.model

import lichenstage.common.SECOND

/** A machine type with its prices. */
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
    /** How long a machine fetches an image while it fetches no other. */
    fun imageFetchUs(gb: Double) = (gb / fetchGbPerS * SECOND).toLong()
}
