package lichenstage.placement

import lichenstage.model.Resources

/**
 * Resources that may be in use but count for no team, on two kinds of machines: those with tasks that no attempt tracks, e.g. tasks of
 * jobs without a record, and those that are not yet accounted for after a failover. Each such machine counts with its full capacity
 * against the limit of every team (invariant 5).
 */
internal class UnaccountedUse(
    private val failoverRecovery: FailoverRecovery,
    private val capacityOf: (String) -> Resources?,
) {
    /** Type names of the machines with untracked tasks, by machine name. */
    private val typeNamesByMachine = HashMap<String, String>()

    /** Sets whether tasks that count for no team run on the machine. */
    fun setUnaccounted(
        machine: String,
        typeName: String,
        isUnaccounted: Boolean,
    ) {
        if (isUnaccounted) typeNamesByMachine[machine] = typeName else typeNamesByMachine.remove(machine)
    }

    /** Removes a machine that was terminated. */
    fun remove(machine: String) {
        typeNamesByMachine.remove(machine)
    }

    /** Returns the total of all unaccounted resources. Cores and GPUs are unlimited if a machine type is unknown; memory is always 0. */
    fun total(): Resources {
        val awaited = failoverRecovery.awaitedCapacity(capacityOf)
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
