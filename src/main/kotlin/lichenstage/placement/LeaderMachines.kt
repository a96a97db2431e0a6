package lichenstage.placement

import lichenstage.cluster.MachineState
import lichenstage.model.PartitionAssignment

/** The machines as the leader knows them, for the parts that decide which machines there are: registry, fleet and drains. */
class LeaderMachines internal constructor(
    private val directory: MachineDirectory,
    private val partitions: PartitionTable,
    private val attempts: RunningAttempts,
    private val tracker: AttemptTracker,
    private val assignment: PartitionAssignment,
) {
    /** The machine has a record. */
    fun isRegistered(machine: String) = directory.isRegistered(machine)

    /** The machine is proven to be terminated. */
    fun isTerminated(machine: String) = directory.isTerminated(machine)

    /** What is known of a machine, or null. */
    fun stateOf(machine: String): MachineState? {
        val partition = directory.partitionOf(machine) ?: return partitions.findMachine(machine)
        return partitions[partition]?.machines?.get(machine)
    }

    /** The zone of a recorded machine, or null. */
    fun zoneOf(machine: String): String? = directory.partitionOf(machine)?.let(assignment::zone)

    /**
     * Machines without a record, each with its partition. Only those that have shown their partition's fencing token in this term: a
     * late copy of a heartbeat must not bring back a machine that was terminated (invariant 4).
     */
    fun unregisteredMachines(): List<PartitionMachine> =
        partitions.machinesWhere {
            it.isTokenConfirmed && !it.isLost &&
                !directory.isRegistered(it.name)
        }

    /** Attempts that may be running on a machine. */
    fun attemptsOn(machine: String): Collection<Attempt> = attempts.onMachine(machine)

    /** Jobs whose tasks failed on a machine: several point at the machine. */
    fun failedJobsOn(machine: String): Set<String> = tracker.failedJobsByMachine[machine].orEmpty()

    /** How many tasks of each team run. */
    fun runningByTeam(): Map<String, Int> = attempts.runningByTeam()

    /** These machines get no more tasks. */
    fun setCordoned(machines: Set<String>) {
        directory.cordoned = machines
    }

    /** These machines get one task at a time. */
    fun setOnProbation(machines: Set<String>) {
        directory.onProbation = machines
    }

    /** These machines are cordoned for drains: only what those stop is stopped there. */
    fun setDrained(machines: Set<String>) {
        directory.drained = machines
    }
}
