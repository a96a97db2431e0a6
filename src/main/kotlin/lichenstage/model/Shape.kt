@file:OptIn(ExperimentalSerializationApi::class)

package lichenstage.model

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/** What a task takes of its machine. */
@Serializable
@CborArray
data class Shape(
    val cores: Double,
    val cards: Double,
    val memGb: Double,
) {
    /** How often [need] fits into this. */
    fun fits(need: Shape): Int = minOf(times(cores, need.cores), times(cards, need.cards), times(memGb, need.memGb))

    /** What is left of this beside [other]. */
    operator fun minus(other: Shape) = Shape(cores - other.cores, cards - other.cards, memGb - other.memGb)

    /** What [count] of this take. */
    operator fun times(count: Int) = Shape(cores * count, cards * count, memGb * count)

    /** With room for the rounding of many small shares. */
    private fun times(
        free: Double,
        need: Double,
    ): Int = if (need <= 0.0 || free == Double.POSITIVE_INFINITY) Int.MAX_VALUE else ((free + 1e-6) / need).toInt()
}

/** What a partition must know of a job whose tasks are on its machines. */
@Serializable
@CborArray
data class JobRequirements(
    val shape: Shape,
    val image: String,
    val imageGb: Double = 0.0,
)
