package lichenstage.fleet

import lichenstage.cloud.ListedMachine
import lichenstage.cloud.ListedStatus
import lichenstage.common.SECOND
import lichenstage.model.MachineType

/** A machine of the fleet. */
internal class FleetMachine(
    val typeName: String,
    val zone: String,
    val isSpot: Boolean,
    /** When it was provisioned, on the steady clock. */
    val provisionedAtUs: Long,
) {
    /** It has stopped by itself, as the cloud's list says. */
    var hasFailed = false

    /** Its worker has been seen up at least once in this term. */
    var hasBeenUp = false

    /** Tasks that may be running on it. */
    var taskCount = 0

    /** It gets no more tasks and is terminated when it is empty. */
    var isDraining = false

    /** It is to be terminated, whatever runs on it. */
    var isTerminating = false
}

/** The machines of the fleet, as the cloud and the partitions show them. */
internal class FleetInventory {
    private val machines = LinkedHashMap<String, FleetMachine>()

    /** Machines that are gone: the cloud's list, which lags, must not bring them back. */
    private val terminatedNames = HashSet<String>()

    /** All machines. */
    val allMachines: Collection<FleetMachine> get() = machines.values

    /** Machines that should get no more tasks. */
    fun cordonedMachines(): Set<String> = machines.filterValues { it.isTerminating || it.isDraining }.keys

    /** The first [limit] machines to terminate. */
    fun machinesToTerminate(limit: Int): List<String> = machines.filterValues { it.isTerminating }.keys.take(limit)

    /** The machines that serve the demand: neither terminating nor among [excludedNames]. */
    fun servingMachines(excludedNames: Set<String>): Collection<FleetMachine> =
        if (excludedNames.isEmpty()) {
            machines.values.filter { !it.isTerminating }
        } else {
            machines.filter { (name, machine) -> !machine.isTerminating && name !in excludedNames }.values
        }

    /** Adds a machine, unless it is known already or has been terminated. */
    fun add(
        name: String,
        typeName: String,
        zone: String,
        spot: Boolean,
        provisionedAtUs: Long,
    ) {
        if (name !in terminatedNames) machines.getOrPut(name) { FleetMachine(typeName, zone, spot, provisionedAtUs) }
    }

    /** Takes over the cloud's list. A machine that is missing from it stays: the list lags. */
    fun applyListing(
        listed: List<ListedMachine>,
        nowUs: Long,
    ) {
        for (row in listed) {
            add(row.name, row.typeName, row.zone, row.spot, nowUs - row.ageUs)
            machines[row.name]?.hasFailed = row.status == ListedStatus.FAILED
        }
    }

    /** Takes over what the partitions show, and marks machines that are of no more use for termination. */
    fun applyStatus(
        statusOf: (String) -> MachineStatus?,
        machineTypes: Map<String, MachineType>,
        nowUs: Long,
    ) {
        // A machine that hangs is replaced before its lease has expired: its termination is the fastest proof that its tasks may
        // run elsewhere. Where many are silent, the network is at fault, not they.
        val silentMachines = machines.keys.filter { statusOf(it)?.isSilent == true }
        if (silentMachines.size <= maxOf(MIN_SILENT_LIMIT, machines.size / SILENT_FLEET_DIVISOR)) terminate(silentMachines)
        for ((name, machine) in machines) update(machine, statusOf(name), machineTypes[machine.typeName]?.bootUs ?: DEFAULT_BOOT_US, nowUs)
    }

    private fun update(
        machine: FleetMachine,
        status: MachineStatus?,
        bootUs: Long,
        nowUs: Long,
    ) {
        if (status != null && status.isUp) machine.hasBeenUp = true
        machine.taskCount = status?.taskCount ?: 0
        val bootFailed = !machine.hasBeenUp && nowUs - machine.provisionedAtUs > BOOT_TIMEOUT_FACTOR * bootUs + BOOT_TIMEOUT_MARGIN_US
        if (status?.isLost == true || status?.isFaulty == true || machine.hasFailed || bootFailed) machine.isTerminating = true
    }

    /** Marks machines for termination; unknown names are ignored. */
    fun terminate(names: Collection<String>) = names.forEach { machines[it]?.isTerminating = true }

    /** These machines are proven gone. */
    fun remove(names: Collection<String>) {
        names.forEach { machines.remove(it) }
        terminatedNames += names
    }

    private companion object {
        /** Up to so many silent machines are terminated at once, or one part in [SILENT_FLEET_DIVISOR] of the fleet where that is more. */
        const val MIN_SILENT_LIMIT = 2
        const val SILENT_FLEET_DIVISOR = 100

        /** A machine that has not come up after so many boot times and the margin never will. */
        const val BOOT_TIMEOUT_FACTOR = 3
        const val BOOT_TIMEOUT_MARGIN_US = 10 * SECOND

        /** Where the machine types are not known yet. */
        const val DEFAULT_BOOT_US = 60 * SECOND
    }
}
