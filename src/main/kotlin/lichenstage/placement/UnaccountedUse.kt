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
    private val machines = HashMap<String, String>()

    fun set(
        machine: String,
        typeName: String,
        unaccounted: Boolean,
    ) {
        if (unaccounted) machines[machine] = typeName else machines.remove(machine)
    }

    fun remove(machine: String) {
        machines.remove(machine)
    }

    fun resources(): Resources {
        val unknown = failover.unknownUse(capacityOf)
        var cores = unknown.cores
        var gpus = unknown.gpus
        for (typeName in machines.values) {
            val capacity = capacityOf(typeName)
            cores += capacity?.cores ?: Double.MAX_VALUE
            gpus += capacity?.gpus ?: Double.MAX_VALUE
        }
        return Resources(cores, gpus, 0.0)
    }
}
