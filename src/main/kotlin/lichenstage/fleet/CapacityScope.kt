package lichenstage.fleet

/**
 * A set of machines of one type that some jobs are restricted to.
 *
 * Machines outside of the scope do not help these jobs, however many of them are idle. So their demand is compared with the machines in the
 * scope only.
 *
 * @property zone the only zone of the machines; null for all zones
 * @property isOnDemandOnly whether spot machines are excluded
 */
internal data class CapacityScope(
    val typeName: String,
    val zone: String? = null,
    val isOnDemandOnly: Boolean = false,
) {
    private val restrictionCount get() = (if (zone != null) 1 else 0) + (if (isOnDemandOnly) 1 else 0)

    /** Whether the scope contains all machines of its type. */
    val isUnrestricted get() = zone == null && !isOnDemandOnly

    /** Returns whether only machines in this scope can serve the demand. */
    fun covers(demand: Demand) =
        demand.typeName == typeName && (zone == null || demand.zone == zone) && (!isOnDemandOnly || !demand.allowsSpot)

    /** Returns whether the machine is in this scope. */
    operator fun contains(machine: FleetMachine) =
        machine.typeName == typeName && (zone == null || machine.zone == zone) && (!isOnDemandOnly || !machine.isSpot)

    companion object {
        /** Returns the restricted scopes that cover [demands] for machines of one type, the narrowest first. */
        fun restrictedScopes(
            typeName: String,
            demands: Collection<Demand>,
        ): List<CapacityScope> {
            val scopes = LinkedHashSet<CapacityScope>()
            for (demand in demands.filter { it.zone != null || !it.allowsSpot }) {
                scopes += CapacityScope(typeName, demand.zone, isOnDemandOnly = !demand.allowsSpot)
                scopes += CapacityScope(typeName, demand.zone)
                scopes += CapacityScope(typeName, isOnDemandOnly = !demand.allowsSpot)
            }
            return scopes.filter { !it.isUnrestricted }.sortedByDescending { it.restrictionCount }
        }
    }
}
