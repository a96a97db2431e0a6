package lichenstage.fleet

import lichenstage.common.SECOND

/**
 * Drains machines in surplus and terminates them when they are empty: the machine with most room gets the next task, so that none
 * would become empty by itself.
 */
internal class ScaleIn(
    private val policy: FleetPolicy,
    private val forecast: DemandForecast,
    private val capacity: CapacityEstimator,
) {
    private val surplusSinceUsByType = HashMap<String, Long>()

    /** Chooses among [machines], those that serve the demand, on-demand machines first. */
    fun drainSurplus(
        machines: Collection<FleetMachine>,
        nowUs: Long,
    ) {
        for ((typeName, group) in machines.groupBy { it.typeName }) {
            val surplus = group.size - capacity.retainedMachines(typeName, nowUs)
            if (surplus <= 0) {
                surplusSinceUsByType.remove(typeName)
                group.forEach { it.isDraining = false }
            } else if (nowUs - surplusSinceUsByType.getOrPut(typeName) { nowUs } >= delayUs(typeName, nowUs)) {
                drain(group, surplus, nowUs)
            }
        }
    }

    private fun delayUs(
        typeName: String,
        nowUs: Long,
    ) = if (forecast.hasCeased(typeName, nowUs)) policy.scaleInDelayUs / CEASED_DELAY_DIVISOR else policy.scaleInDelayUs

    private fun drain(
        group: List<FleetMachine>,
        surplus: Int,
        nowUs: Long,
    ) {
        val candidates =
            group
                .filter { it.hasBeenUp && nowUs - it.provisionedAtUs > MIN_LIFETIME_US - DRAIN_LEAD_US }
                .sortedWith(compareBy<FleetMachine> { it.isSpot }.thenBy { !it.isDraining }.thenBy { it.taskCount })
        candidates.forEachIndexed { i, machine -> machine.isDraining = i < surplus }
        candidates
            .filter { it.isDraining && it.taskCount == 0 && nowUs - it.provisionedAtUs > MIN_LIFETIME_US }
            .forEach { it.isTerminating = true }
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
