package lichenstage.placement

/** The machines that the leader knows by name: which the state service holds, where they are, and which get no more tasks. */
internal class MachineDirectory {
    /** Names that the state service holds, with the partition of each: only these may get tasks (invariant 4). */
    private val registered = HashMap<String, String>()
    private val addresses = HashMap<String, String>()

    /** Machines proven gone: a late word about one is not believed. */
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

    fun mayGetTasks(machine: String) = machine in registered && machine !in cordoned

    /** Addresses of the recorded machines of a partition. */
    fun addresses(partition: String): Map<String, String> = addresses.filterKeys { registered[it] == partition }

    /** The state service holds these machines, each with its partition. */
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
