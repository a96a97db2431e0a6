package lichenstage.placement

/** The machines by name: their records, partitions and addresses, and the limits on placing tasks on them. */
internal class MachineDirectory {
    /** Partition names of the machines with a record, by machine name. Only these machines may get tasks (invariant 4). */
    private val registered = HashMap<String, String>()

    /** Addresses by machine name, also of machines that have no record yet. */
    private val addresses = HashMap<String, String>()

    /** Machines that are proven to be terminated. Late frames that name one of them are ignored. */
    private val terminated = HashSet<String>()

    /** Names of the machines that get no more tasks. */
    var cordoned: Set<String> = emptySet()

    /** Names of the machines that get only one task at a time until they have proven that they work. */
    var onProbation: Set<String> = emptySet()

    /** Names of the machines that are cordoned for a drain by an operator. */
    var drained: Set<String> = emptySet()

    /** The number of machines with a record. */
    val size get() = registered.size

    /** Whether the machine has a record. */
    fun isRegistered(machine: String) = machine in registered

    /** Whether the machine is proven to be terminated. */
    fun isTerminated(machine: String) = machine in terminated

    /** Returns the partition name of a recorded machine, or null if the machine has no record. */
    fun partitionOf(machine: String): String? = registered[machine]

    /**
     * Returns how many of the [heldSlots] of a machine may be used. [attemptCount] returns the number of attempts that may be running on
     * the machine; it is called only for a machine on probation.
     */
    inline fun usableSlots(
        machine: String,
        heldSlots: Int,
        attemptCount: () -> Int,
    ) = when {
        !canReceiveTasks(machine) -> 0
        machine !in onProbation -> heldSlots
        else -> minOf(heldSlots, 1 - attemptCount()).coerceAtLeast(0)
    }

    /** Whether the machine has a record and is not cordoned. */
    fun canReceiveTasks(machine: String) = machine in registered && machine !in cordoned

    /** Returns the addresses of the recorded machines of a partition, by machine name. */
    fun addressesIn(partition: String): Map<String, String> = addresses.filterKeys { registered[it] == partition }

    /** Adds machines with a record, as a map from machine name to partition name. Terminated machines are not added again. */
    fun register(machines: Map<String, String>) {
        registered += machines.filterKeys { it !in terminated }
    }

    /** Sets the address of a machine, whether or not it has a record. */
    fun setAddress(
        machine: String,
        address: String,
    ) {
        addresses[machine] = address
    }

    /** Removes a machine that is proven to be terminated, and ignores it from now on. */
    fun markTerminated(machine: String) {
        registered.remove(machine)
        addresses.remove(machine)
        terminated += machine
    }
}
