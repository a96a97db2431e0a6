package lichenstage.model

/** What a machine of a type offers. */
data class MachineLimits(
    val typeName: String,
    val capacity: Resources,
    val cacheGb: Double = Double.POSITIVE_INFINITY,
)
