package lichenstage.fleet

import lichenstage.common.SECOND

/** Where machines are provisioned: a type in a zone, as spot or on-demand instances. The cloud's capacity differs by it. */
internal data class CapacityPool(
    val typeName: String,
    val zone: String,
    val spot: Boolean,
)

/** Delays the next request to a pool that lately had no capacity, longer from refusal to refusal. */
internal class ProvisionBackoff {
    private val blockedUntilUs = HashMap<CapacityPool, Long>()
    private val refusals = HashMap<CapacityPool, Int>()

    /** The pool may be asked now. */
    fun allows(
        pool: CapacityPool,
        now: Long,
    ): Boolean = (blockedUntilUs[pool] ?: Long.MIN_VALUE) <= now

    /** The pool gave less than was requested. */
    fun refused(
        pool: CapacityPool,
        now: Long,
    ) {
        val count = minOf((refusals[pool] ?: 0) + 1, MAX_REFUSALS)
        refusals[pool] = count
        blockedUntilUs[pool] = now + (FIRST_DELAY_US shl (count - 1))
    }

    /** The pool gave all that was requested. */
    fun succeeded(pool: CapacityPool) {
        refusals.remove(pool)
    }

    private companion object {
        const val FIRST_DELAY_US = 5 * SECOND

        /** The delay doubles up to so many refusals: 5, 10 and 20 s. */
        const val MAX_REFUSALS = 3
    }
}
