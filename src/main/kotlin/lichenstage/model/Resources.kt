@file:OptIn(ExperimentalSerializationApi::class)

package lichenstage.model

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/** An amount of machine resources, such as the resources that a task requests, or the capacity or the free capacity of a machine. */
@Serializable
@CborArray
data class Resources(
    val cores: Double,
    val gpus: Double,
    val memGb: Double,
) {
    /** Returns how many times [request] fits into this amount; [Int.MAX_VALUE] if it requests no limited resource. */
    fun countFitting(request: Resources): Int =
        minOf(countFittingIn(cores, request.cores), countFittingIn(gpus, request.gpus), countFittingIn(memGb, request.memGb))

    /** Returns this amount reduced by [other]. Components can become negative. */
    operator fun minus(other: Resources) = Resources(cores - other.cores, gpus - other.gpus, memGb - other.memGb)

    /** Returns this amount multiplied by [count]. */
    operator fun times(count: Int) = Resources(cores * count, gpus * count, memGb * count)

    private fun countFittingIn(
        free: Double,
        requested: Double,
    ): Int = if (requested <= 0.0 || free == Double.POSITIVE_INFINITY) Int.MAX_VALUE else ((free + ROUNDING_TOLERANCE) / requested).toInt()

    private companion object {
        /** Covers the rounding error of sums of many small amounts. Without it, a task that fits exactly could be rejected. */
        const val ROUNDING_TOLERANCE = 1e-6
    }
}

/** The requirements of a job that a partition needs to place its tasks: the resources of one task and the image. */
@Serializable
@CborArray
data class JobRequirements(
    val resources: Resources,
    val image: String,
    val imageGb: Double = 0.0,
)
