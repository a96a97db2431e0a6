package lichenstage.fleet

import lichenstage.common.SECOND

/** Where machines are provisioned: a type in a zone, as spot or on-demand instances. The cloud's capacity differs by it. */
internal data class CapacityPool(
    val typeName: String,
    val zone: String,
    val isSpot: Boolean,
)

/** Delays the next request to a pool that lately had no capacity, longer from refusal to refusal. */
internal class ProvisionBackoff {
    private val blockedUntilUs = HashMap<CapacityPool, Long>()
    private val refusals = HashMap<CapacityPool, Int>()

    /** The pool may be asked now. */
    fun allows(
        pool: CapacityPool,
        nowUs: Long,
    ): Boolean = (blockedUntilUs[pool] ?: Long.MIN_VALUE) <= nowUs

    /** The pool gave less than was requested. */
    fun onRefusal(
        pool: CapacityPool,
        nowUs: Long,
    ) {
        val count = minOf((refusals[pool] ?: 0) + 1, MAX_COUNTED_REFUSALS)
        refusals[pool] = count
        blockedUntilUs[pool] = nowUs + (FIRST_DELAY_US shl (count - 1))
    }

    /** The pool gave all that was requested. */
    fun onSuccess(pool: CapacityPool) {
        refusals.remove(pool)
    }

    private companion object {
        const val FIRST_DELAY_US = 5 * SECOND

        /** The delay doubles up to so many refusals: 5, 10 and 20 s. */
        const val MAX_COUNTED_REFUSALS = 3
    }
}
