package lichenstage.fleet

import lichenstage.common.SECOND

/**
 * Drains machines in surplus and terminates them when they are empty: the machine with most room gets the next task, so that none
 * would become empty by itself.
 */
internal class ScaleIn(
    private val policy: FleetPolicy,
    private val forecast: DemandForecast,
    private val capacity: CapacityEstimate,
) {
    private val surplusSinceUs = HashMap<String, Long>()

    /** Chooses among [machines], those that serve the demand, on-demand machines first. */
    fun drainSurplus(
        machines: Collection<FleetMachine>,
        now: Long,
    ) {
        for ((typeName, group) in machines.groupBy { it.typeName }) {
            val surplus = group.size - capacity.retained(typeName, now)
            if (surplus <= 0) {
                surplusSinceUs.remove(typeName)
                group.forEach { it.draining = false }
            } else if (now - surplusSinceUs.getOrPut(typeName) { now } >= delayUs(typeName, now)) {
                drain(group, surplus, now)
            }
        }
    }

    private fun delayUs(
        typeName: String,
        now: Long,
    ) = if (forecast.hasCeased(typeName, now)) policy.scaleInDelayUs / CEASED_DELAY_DIVISOR else policy.scaleInDelayUs

    private fun drain(
        group: List<FleetMachine>,
        surplus: Int,
        now: Long,
    ) {
        val candidates =
            group
                .filter { it.hasBeenUp && now - it.provisionedUs > MIN_LIFETIME_US - DRAIN_LEAD_US }
                .sortedWith(compareBy<FleetMachine> { it.spot }.thenBy { !it.draining }.thenBy { it.tasks })
        candidates.forEachIndexed { i, machine -> machine.draining = i < surplus }
        candidates
            .filter { it.draining && it.tasks == 0 && now - it.provisionedUs > MIN_LIFETIME_US }
            .forEach { it.terminating = true }
    }

    private companion object {
        /** A machine is paid for 60 s at the least: just short of that, for the time that the call takes. */
        const val MIN_LIFETIME_US = 55 * SECOND

        /** Draining may begin so long before the machine may be terminated. */
        const val DRAIN_LEAD_US = 10 * SECOND

        /** Where no job of a type is expected to come any more, the delay is divided by this. */
        const val CEASED_DELAY_DIVISOR = 4
    }
}
