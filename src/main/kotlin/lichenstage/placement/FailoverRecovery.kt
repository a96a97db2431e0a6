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
 * anything may run on it (invariant 5). A machine without a record is never waited for: a late copy of a heartbeat may name one.
 */
class FailoverRecovery(
    private val leaseUs: Long,
    private val partitionOf: (String) -> PartitionState?,
) {
    private val awaitedMachines = HashMap<String, RecoveredMachine>()
    private var isCompletionReported = false

    /** Every machine is accounted for. */
    val isComplete get() = awaitedMachines.isEmpty()

    /** The machine has to be accounted for. */
    fun awaitMachine(machine: RecoveredMachine) {
        awaitedMachines[machine.name] = machine
    }

    /** The machine is proven to be terminated. */
    fun onMachineTerminated(name: String) {
        awaitedMachines.remove(name)
    }

    /** Drops the machines that are accounted for by now; true once, at the first call that finds none left. */
    fun checkCompletion(): Boolean {
        if (awaitedMachines.isNotEmpty()) awaitedMachines.values.removeIf(::isAccountedFor)
        if (isCompletionReported || awaitedMachines.isNotEmpty()) return false
        isCompletionReported = true
        return true
    }

    /**
     * A machine whose heartbeats reach its partition is accounted for once it has shown the fencing token, or once its lease has expired
     * since its last answer; one without heartbeats, once the partition has had its owner for longer than a lease.
     */
    private fun isAccountedFor(machine: RecoveredMachine): Boolean {
        val partition = partitionOf(machine.partition) ?: return false
        return MachineKnowledge.of(machine.name, partition, leaseUs) != MachineKnowledge.UNKNOWN
    }

    /**
     * Machines without heartbeats that keep the failover from being complete although their partition has an owner: terminating them
     * is the fastest proof that nothing runs on them. A few are terminated soon (spot instances are reclaimed at any time, so that a
     * large deployment always has some that just went away), more of them later; where many are silent, the network is at fault.
     */
    fun machinesToFence(registered: Int): List<String> {
        if (awaitedMachines.isEmpty()) return emptyList()
        val afterUs =
            when {
                awaitedMachines.size <= maxOf(FEW_MACHINES, registered / FEW_DIVISOR) -> FENCE_FEW_AFTER_US
                awaitedMachines.size <= registered / SOME_DIVISOR -> FENCE_SOME_AFTER_US
                else -> return emptyList()
            }
        return awaitedMachines.values.filter { (partitionOf(it.partition)?.ownershipAgeUs ?: 0) > afterUs }.map { it.name }
    }

    /** What may be in use on the machines of which nothing is known yet: each counts at its full size. */
    fun awaitedCapacity(capacityOf: (String) -> Resources?): Resources {
        var cores = 0.0
        var gpus = 0.0
        for (machine in awaitedMachines.values) {
            cores += capacityOf(machine.typeName)?.cores ?: Double.MAX_VALUE
            gpus += capacityOf(machine.typeName)?.gpus ?: Double.MAX_VALUE
        }
        return Resources(cores, gpus, 0.0)
    }

    private companion object {
        const val FEW_MACHINES = 2
        const val FEW_DIVISOR = 50
        const val SOME_DIVISOR = 16
        const val FENCE_FEW_AFTER_US = 5 * SECOND / 2
        const val FENCE_SOME_AFTER_US = 6 * SECOND
    }
}
