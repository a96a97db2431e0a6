package lichenstage.fleet

import lichenstage.common.SECOND

/**
 * Drains surplus machines and terminates them once they are empty. Without draining, no machine would become empty by itself, because the
 * machine with the most free capacity gets the next task.
 */
internal class ScaleIn(
    private val policy: FleetPolicy,
    private val forecast: DemandForecast,
    private val capacityEstimator: CapacityEstimator,
) {
    private val surplusSinceUsByType = HashMap<String, Long>()

    /** Drains the surplus among [machines], which are the machines that serve the demand. On-demand machines are drained first. */
    fun drainSurplus(
        machines: Collection<FleetMachine>,
        nowUs: Long,
    ) {
        for ((typeName, group) in machines.groupBy { it.typeName }) {
            val surplus = group.size - capacityEstimator.retainedMachines(typeName, nowUs)
            if (surplus <= 0) {
                surplusSinceUsByType.remove(typeName)
                group.forEach { it.isDraining = false }
            } else if (nowUs - surplusSinceUsByType.getOrPut(typeName) { nowUs } >= delayUs(typeName, nowUs)) {
                drain(group, surplus, RestrictedNeed(capacityEstimator, typeName, group, nowUs), nowUs)
            }
        }
    }

    private fun delayUs(
        typeName: String,
        nowUs: Long,
    ) = if (forecast.hasCeased(typeName, nowUs)) policy.scaleInDelayUs / CEASED_DELAY_DIVISOR else policy.scaleInDelayUs

    /** Drains up to [surplus] machines, but none that the jobs behind [restrictedNeed] need, and terminates the empty ones. */
    private fun drain(
        group: List<FleetMachine>,
        surplus: Int,
        restrictedNeed: RestrictedNeed,
        nowUs: Long,
    ) {
        val candidates =
            group
                .filter { it.hasBeenUp && nowUs - it.provisionedAtUs > MIN_LIFETIME_US - DRAIN_LEAD_US }
                .sortedWith(compareBy<FleetMachine> { it.isSpot }.thenBy { !it.isDraining }.thenBy { it.taskCount })
        var remaining = surplus
        for (machine in candidates) {
            machine.isDraining = remaining > 0 && restrictedNeed.canSpare(machine)
            if (!machine.isDraining) continue
            restrictedNeed.remove(machine)
            remaining--
        }
        candidates
            .filter { it.isDraining && it.taskCount == 0 && nowUs - it.provisionedAtUs > MIN_LIFETIME_US }
            .forEach { it.isTerminating = true }
    }

    private companion object {
        /**
         * The minimum age at which a machine is terminated. A machine is billed for at least 60 s; this limit is slightly lower, because
         * the call to terminate takes time.
         */
        const val MIN_LIFETIME_US = 55 * SECOND

        /** Draining may start this long before the machine may be terminated. */
        const val DRAIN_LEAD_US = 10 * SECOND

        /** Divides the scale-in delay for a machine type for which no more jobs are expected. */
        const val CEASED_DELAY_DIVISOR = 4
    }
}
