package lichenstage.placement

import lichenstage.model.Resources

/**
 * What may be in use without counting for a team: on machines that run tasks of jobs without record, and on machines that are not yet
 * accounted for. Each counts at its full capacity against the limit of every team (invariant 5).
 */
internal class UnaccountedUse(
    private val failover: FailoverRecovery,
    private val capacityOf: (String) -> Resources?,
) {
    /** Machines with the names of their types. */
    private val typeNamesByMachine = HashMap<String, String>()

    fun setUnaccounted(
        machine: String,
        typeName: String,
        isUnaccounted: Boolean,
    ) {
        if (isUnaccounted) typeNamesByMachine[machine] = typeName else typeNamesByMachine.remove(machine)
    }

    fun remove(machine: String) {
        typeNamesByMachine.remove(machine)
    }

    fun total(): Resources {
        val awaited = failover.awaitedCapacity(capacityOf)
        var cores = awaited.cores
        var gpus = awaited.gpus
        for (typeName in typeNamesByMachine.values) {
            val capacity = capacityOf(typeName)
            cores += capacity?.cores ?: Double.MAX_VALUE
            gpus += capacity?.gpus ?: Double.MAX_VALUE
        }
        return Resources(cores, gpus, 0.0)
    }
}
