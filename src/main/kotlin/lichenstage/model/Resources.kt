@file:OptIn(ExperimentalSerializationApi::class)

package lichenstage.model

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/** An amount of machine resources: the request of one task, the capacity of a machine, or what is left of it. */
@Serializable
@CborArray
data class Resources(
    val cores: Double,
    val gpus: Double,
    val memGb: Double,
) {
    /** How many times [request] fits into this amount; [Int.MAX_VALUE] if it requests nothing that is limited. */
    fun countFitting(request: Resources): Int =
        minOf(countFittingIn(cores, request.cores), countFittingIn(gpus, request.gpus), countFittingIn(memGb, request.memGb))

    /** This amount without [other]; negative components are kept. */
    operator fun minus(other: Resources) = Resources(cores - other.cores, gpus - other.gpus, memGb - other.memGb)

    /** This amount [count] times. */
    operator fun times(count: Int) = Resources(cores * count, gpus * count, memGb * count)

    private fun countFittingIn(
        free: Double,
        requested: Double,
    ): Int = if (requested <= 0.0 || free == Double.POSITIVE_INFINITY) Int.MAX_VALUE else ((free + ROUNDING_TOLERANCE) / requested).toInt()

    private companion object {
        /** Sums of many small amounts are off by a rounding error; it must not cost a task its place. */
        const val ROUNDING_TOLERANCE = 1e-6
    }
}

/** What a partition needs to know about a job in order to place its tasks: the resources of one task, and its image. */
@Serializable
@CborArray
data class JobRequirements(
    val resources: Resources,
    val image: String,
    val imageGb: Double = 0.0,
)
