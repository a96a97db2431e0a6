package lichenstage.model

/** The resources and the image cache of a machine of one type. A cache of infinite size means that its size is unknown. */
data class MachineLimits(
    val typeName: String,
    val capacity: Resources,
    val cacheGb: Double = Double.POSITIVE_INFINITY,
)
