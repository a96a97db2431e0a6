package lichenstage.fleet

import lichenstage.common.SECOND

/** The cloud's pool of machines of one type in one zone, either spot or on-demand. Each pool has its own capacity. */
internal data class CapacityPool(
    val typeName: String,
    val zone: String,
    val isSpot: Boolean,
)

/** Delays the next request to a pool that recently had too little capacity. The delay doubles with each refusal, up to a limit. */
internal class ProvisionBackoff {
    private val blockedUntilUs = HashMap<CapacityPool, Long>()
    private val refusals = HashMap<CapacityPool, Int>()

    /** Returns whether a request may be sent to the pool now. */
    fun allows(
        pool: CapacityPool,
        nowUs: Long,
    ): Boolean = (blockedUntilUs[pool] ?: Long.MIN_VALUE) <= nowUs

    /** Records that the pool provided fewer machines than were requested. */
    fun onRefusal(
        pool: CapacityPool,
        nowUs: Long,
    ) {
        val count = minOf((refusals[pool] ?: 0) + 1, MAX_COUNTED_REFUSALS)
        refusals[pool] = count
        blockedUntilUs[pool] = nowUs + (FIRST_DELAY_US shl (count - 1))
    }

    /** Records that the pool provided all requested machines. */
    fun onSuccess(pool: CapacityPool) {
        refusals.remove(pool)
    }

    private companion object {
        const val FIRST_DELAY_US = 5 * SECOND

        /** The number of refusals up to which the delay doubles: 5, 10 and 20 s. */
        const val MAX_COUNTED_REFUSALS = 3
    }
}
