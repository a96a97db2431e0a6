package lichenstage.placement

/** The machines that the leader knows by name: which have a record, their partitions and addresses, and which get no more tasks. */
internal class MachineDirectory {
    /** Machines with a record, each with its partition: only these may get tasks (invariant 4). */
    private val registered = HashMap<String, String>()
    private val addresses = HashMap<String, String>()

    /** Machines that are proven to be terminated: late frames that name one are ignored. */
    private val retired = HashSet<String>()

    /** Machines that get no more tasks. */
    var cordoned: Set<String> = emptySet()

    /** Machines that get one task at a time, until they have proven themselves. */
    var onProbation: Set<String> = emptySet()

    /** Cordoned for a drain that an operator has asked for. */
    var drained: Set<String> = emptySet()

    /** How many machines are recorded. */
    val size get() = registered.size

    fun isRegistered(machine: String) = machine in registered

    fun isRetired(machine: String) = machine in retired

    /** The partition of a recorded machine. */
    fun partition(machine: String): String? = registered[machine]

    /** How many of the [held] slots of a machine may be used; [attemptCount] gives the attempts that may be running on it. */
    inline fun usableSlots(
        machine: String,
        held: Int,
        attemptCount: () -> Int,
    ) = when {
        !mayGetTasks(machine) -> 0
        machine !in onProbation -> held
        else -> minOf(held, 1 - attemptCount()).coerceAtLeast(0)
    }

    /** The machine has a record and is not cordoned. */
    fun mayGetTasks(machine: String) = machine in registered && machine !in cordoned

    /** Addresses of the recorded machines of a partition. */
    fun addresses(partition: String): Map<String, String> = addresses.filterKeys { registered[it] == partition }

    /** These machines, each with its partition, have a record. */
    fun register(machines: Map<String, String>) {
        registered += machines.filterKeys { it !in retired }
    }

    fun setAddress(
        machine: String,
        address: String,
    ) {
        addresses[machine] = address
    }

    fun retire(machine: String) {
        registered.remove(machine)
        addresses.remove(machine)
        retired += machine
    }
}
