package lichenstage.placement

import lichenstage.cluster.MachineState
import lichenstage.fleet.MachineHealth
import lichenstage.model.PartitionAssignment

/** The leader's view of the machines, for the components that add and remove machines: the durable registry, the fleet and drains. */
class LeaderMachines internal constructor(
    private val directory: MachineDirectory,
    private val partitions: PartitionTable,
    private val runningAttempts: RunningAttempts,
    private val failureHistory: FailureHistory,
    private val assignment: PartitionAssignment,
) {
    /** The number of machines with a record. */
    val registeredCount get() = directory.size

    /** Whether the machine has a record. */
    fun isRegistered(machine: String) = directory.isRegistered(machine)

    /** Whether the machine is proven to be terminated. */
    fun isTerminated(machine: String) = directory.isTerminated(machine)

    /** Returns the latest state of a machine, or null if no state is known. A machine without a record is looked up in all partitions. */
    fun stateOf(machine: String): MachineState? {
        val partition = directory.partitionOf(machine) ?: return partitions.findMachine(machine)
        return partitions[partition]?.machines?.get(machine)
    }

    /** Returns the zone of a machine, or null if the machine has no record. */
    fun zoneOf(machine: String): String? = directory.partitionOf(machine)?.let(assignment::zoneOf)

    /**
     * Returns the machines that should get a record. Only machines that have shown their partition's fencing token in this term are
     * included: a late copy of a heartbeat must not add a terminated machine again (invariant 4).
     */
    fun unregisteredMachines(): List<PartitionMachine> =
        partitions.machinesWhere {
            it.isTokenConfirmed && !it.isLost &&
                !directory.isRegistered(it.name)
        }

    /** Returns the attempts that may be running on a machine. */
    fun attemptsOn(machine: String): Collection<Attempt> = runningAttempts.onMachine(machine)

    /** Returns what the failures of tasks on a machine say about it. */
    fun healthOf(
        machine: String,
        nowUs: Long,
    ): MachineHealth = failureHistory.healthOf(machine, nowUs)

    /** Returns the number of running tasks per team. Teams without running tasks are left out. */
    fun runningTasksByTeam(): Map<String, Int> = runningAttempts.runningTasksByTeam()

    /** Replaces the set of machines that get no more tasks. */
    fun setCordoned(machines: Set<String>) {
        directory.cordoned = machines
    }

    /** Replaces the set of machines that get only one task at a time. */
    fun setOnProbation(machines: Set<String>) {
        directory.onProbation = machines
    }

    /**
     * Replaces the set of machines that are cordoned for drains. On these machines, only the attempts that a drain has requested are
     * stopped, unless there is a reclaim notice.
     */
    fun setDrained(machines: Set<String>) {
        directory.drained = machines
    }
}
