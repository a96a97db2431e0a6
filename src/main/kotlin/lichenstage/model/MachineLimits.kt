package lichenstage.model

/** The resources and the image cache of a machine of one type. An infinite [cacheGb] means that the cache has no limit. */
data class MachineLimits(
    val typeName: String,
    val capacity: Resources,
    val cacheGb: Double = Double.POSITIVE_INFINITY,
)
