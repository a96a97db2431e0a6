package lichenstage.fleet

/** The machines of one type beyond those needed for jobs that are restricted to a zone or to on-demand machines. */
internal class RestrictedNeed(
    capacityEstimator: CapacityEstimator,
    typeName: String,
    machines: Collection<FleetMachine>,
    nowUs: Long,
) {
    /** The number of surplus machines in each scope. */
    private val surplusByScope =
        capacityEstimator
            .restrictedScopes(typeName)
            .associateWithTo(LinkedHashMap()) { scope -> machines.count { it in scope } - capacityEstimator.neededMachines(scope, nowUs) }

    /** Returns whether the restricted jobs would have enough machines without [machine]. */
    fun canSpare(machine: FleetMachine): Boolean = surplusByScope.all { (scope, surplus) -> machine !in scope || surplus > 0 }

    /** Counts [machine] as removed. */
    fun remove(machine: FleetMachine) {
        for (entry in surplusByScope) if (machine in entry.key) entry.setValue(entry.value - 1)
    }
}
