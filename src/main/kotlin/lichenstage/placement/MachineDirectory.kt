package lichenstage.placement

/** The machines that the leader knows by name: which have a record, their partitions and addresses, and which get no more tasks. */
internal class MachineDirectory {
    /** Machines with a record, each with its partition: only these may get tasks (invariant 4). */
    private val registered = HashMap<String, String>()
    private val addresses = HashMap<String, String>()

    /** Machines that are proven to be terminated: late frames that name one are ignored. */
    private val terminated = HashSet<String>()

    /** Machines that get no more tasks. */
    var cordoned: Set<String> = emptySet()

    /** Machines that get one task at a time, until they have proven themselves. */
    var onProbation: Set<String> = emptySet()

    /** Cordoned for a drain that an operator has asked for. */
    var drained: Set<String> = emptySet()

    /** How many machines are recorded. */
    val size get() = registered.size

    fun isRegistered(machine: String) = machine in registered

    fun isTerminated(machine: String) = machine in terminated

    /** The partition of a recorded machine. */
    fun partitionOf(machine: String): String? = registered[machine]

    /** How many of the [heldSlots] of a machine may be used; [attemptCount] gives the attempts that may be running on it. */
    inline fun usableSlots(
        machine: String,
        heldSlots: Int,
        attemptCount: () -> Int,
    ) = when {
        !canReceiveTasks(machine) -> 0
        machine !in onProbation -> heldSlots
        else -> minOf(heldSlots, 1 - attemptCount()).coerceAtLeast(0)
    }

    /** The machine has a record and is not cordoned. */
    fun canReceiveTasks(machine: String) = machine in registered && machine !in cordoned

    /** Addresses of the recorded machines of a partition. */
    fun addressesIn(partition: String): Map<String, String> = addresses.filterKeys { registered[it] == partition }

    /** These machines, each with its partition, have a record. */
    fun register(machines: Map<String, String>) {
        registered += machines.filterKeys { it !in terminated }
    }

    fun setAddress(
        machine: String,
        address: String,
    ) {
        addresses[machine] = address
    }

    fun markTerminated(machine: String) {
        registered.remove(machine)
        addresses.remove(machine)
        terminated += machine
    }
}
