package lichenstage.placement

import lichenstage.common.SECOND
import lichenstage.model.Resources

/** A machine that was registered before a leader's term. */
data class RecoveredMachine(
    val name: String,
    val partition: String,
    val typeName: String,
    val address: String?,
)

/**
 * The machines that may hold tasks of an earlier leader: what was registered when this term began. Until each is accounted for,
 * anything may run on it (invariant 5). A machine without a record is never waited for: a late copy of a report may name one.
 */
class FailoverRecovery(
    private val leaseUs: Long,
    private val partitionOf: (String) -> PartitionState?,
) {
    private val awaited = HashMap<String, RecoveredMachine>()

    val isComplete get() = awaited.isEmpty()

    /** The machine has to be accounted for. */
    fun await(machine: RecoveredMachine) {
        awaited[machine.name] = machine
    }

    /** The machine is proven gone. */
    fun machineTerminated(name: String) {
        awaited.remove(name)
    }

    /** True where this was the last. */
    fun update(): Boolean {
        if (awaited.isEmpty()) return false
        awaited.values.removeIf(::accounted)
        return awaited.isEmpty()
    }

    /**
     * One that its partition has heard counts only once it has shown the token or its lease has run out since its last answer; one
     * that was never heard, once the partition is older than a lease.
     */
    private fun accounted(machine: RecoveredMachine): Boolean {
        val partition = partitionOf(machine.partition) ?: return false
        return MachineKnowledge.of(machine.name, partition, leaseUs) != MachineKnowledge.UNKNOWN
    }

    /**
     * Machines that keep all older jobs waiting because nothing is heard of them although their partition has an owner: giving them
     * back is the fastest proof that nothing runs on them. A few are given back soon (cheap machines are taken at any time, so
     * that in a large deployment some are always just gone), more of them later; where many are silent, the network is at fault.
     */
    fun machinesToFence(registered: Int): List<String> {
        if (awaited.isEmpty()) return emptyList()
        val afterUs =
            when {
                awaited.size <= maxOf(FEW, registered / FEW_SHARE) -> SOON_US
                awaited.size <= registered / SOME_SHARE -> LATER_US
                else -> return emptyList()
            }
        return awaited.values.filter { (partitionOf(it.partition)?.ageUs ?: 0) > afterUs }.map { it.name }
    }

    /** What may be in use on the machines of which nothing is known yet: each counts at its full size. */
    fun unknownUse(capacityOf: (String) -> Resources?): Resources {
        var cores = 0.0
        var gpus = 0.0
        for (machine in awaited.values) {
            cores += capacityOf(machine.typeName)?.cores ?: Double.MAX_VALUE
            gpus += capacityOf(machine.typeName)?.gpus ?: Double.MAX_VALUE
        }
        return Resources(cores, gpus, 0.0)
    }

    private companion object {
        const val FEW = 2
        const val FEW_SHARE = 50
        const val SOME_SHARE = 16
        const val SOON_US = 5 * SECOND / 2
        const val LATER_US = 6 * SECOND
    }
}
