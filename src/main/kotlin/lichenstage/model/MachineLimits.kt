package lichenstage.model

/** What a machine of a type offers. */
data class MachineLimits(
    val name: String,
    val capacity: Shape,
    val cacheGb: Double = Double.POSITIVE_INFINITY,
)
