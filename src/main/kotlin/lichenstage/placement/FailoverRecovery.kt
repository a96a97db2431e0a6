package lichenstage.placement

import lichenstage.common.SECOND
import lichenstage.model.Resources

/** A machine that was already registered when the leader's term began. The address is null if no record contains it. */
data class RecoveredMachine(
    val name: String,
    val partition: String,
    val typeName: String,
    val address: String?,
)

/**
 * The machines that may run tasks of an earlier leader: the machines that were registered when this term began. Until a machine is
 * accounted for, any task may be running on it (invariant 5).
 *
 * The failover never waits for a machine without a record, because a late copy of a heartbeat may name a terminated machine.
 */
class FailoverRecovery(
    private val leaseUs: Long,
    private val partitionOf: (String) -> PartitionState?,
) {
    private val awaitedMachines = HashMap<String, RecoveredMachine>()
    private var isCompletionReported = false

    /** Whether every machine is accounted for. */
    val isComplete get() = awaitedMachines.isEmpty()

    /** Adds a machine that must be accounted for before the failover is complete. */
    fun awaitMachine(machine: RecoveredMachine) {
        awaitedMachines[machine.name] = machine
    }

    /** Handles the proven termination of a machine: the failover no longer waits for it. */
    fun onMachineTerminated(name: String) {
        awaitedMachines.remove(name)
    }

    /** Removes the machines that are accounted for by now. Returns true only on the first call that finds the failover complete. */
    fun checkCompletion(): Boolean {
        if (awaitedMachines.isNotEmpty()) awaitedMachines.values.removeIf(::isAccountedFor)
        if (isCompletionReported || awaitedMachines.isNotEmpty()) return false
        isCompletionReported = true
        return true
    }

    /**
     * Whether the leader knows which tasks may run on the machine. For a machine that sends heartbeats, this holds once the machine has
     * shown the fencing token, or once its lease has expired since the last reply to it. For a machine without heartbeats, this holds
     * once the current owner has had the partition for longer than a lease.
     */
    private fun isAccountedFor(machine: RecoveredMachine): Boolean {
        val partition = partitionOf(machine.partition) ?: return false
        return MachineKnowledge.of(machine.name, partition, leaseUs) != MachineKnowledge.UNKNOWN
    }

    /**
     * Returns the machines to terminate because they delay the failover: their partition has an owner, but they are not accounted for.
     * Terminating them is the fastest proof that no task runs on them.
     *
     * If only a few machines are affected, they are terminated soon: spot machines are reclaimed at any time, so a large deployment
     * usually has some that have just disappeared. A larger number is terminated later. If many machines are affected, the network is the
     * likely cause, and none is terminated.
     *
     * @param registered the number of registered machines
     */
    fun machinesToFence(registered: Int): List<String> {
        if (awaitedMachines.isEmpty()) return emptyList()
        val afterUs =
            when {
                awaitedMachines.size <= maxOf(EARLY_FENCE_MACHINES, registered / EARLY_FENCE_DIVISOR) -> EARLY_FENCE_AFTER_US
                awaitedMachines.size <= registered / LATE_FENCE_DIVISOR -> LATE_FENCE_AFTER_US
                else -> return emptyList()
            }
        return awaitedMachines.values.filter { (partitionOf(it.partition)?.ownershipAgeUs ?: 0) > afterUs }.map { it.name }
    }

    /**
     * Returns the total cores and GPUs of the machines that are not accounted for, because all of them may be in use. A machine of an
     * unknown type counts as unlimited.
     */
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
        /** Up to this number of machines, or one in [EARLY_FENCE_DIVISOR] registered machines, are terminated early. */
        const val EARLY_FENCE_MACHINES = 2
        const val EARLY_FENCE_DIVISOR = 50

        /** Up to one in this number of registered machines are terminated late. More than that are not terminated. */
        const val LATE_FENCE_DIVISOR = 16

        /** Age of the ownership of the partition after which machines are terminated early or late. */
        const val EARLY_FENCE_AFTER_US = 5 * SECOND / 2
        const val LATE_FENCE_AFTER_US = 6 * SECOND
    }
}
