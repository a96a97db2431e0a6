package lichenstage.fleet

import lichenstage.cloud.ListedMachine
import lichenstage.cloud.ListedStatus
import lichenstage.common.SECOND
import lichenstage.model.MachineType

/** A machine of the fleet. */
internal class FleetMachine(
    val typeName: String,
    val zone: String,
    val spot: Boolean,
    /** When it was provisioned, on the steady clock. */
    val provisionedUs: Long,
) {
    /** It has stopped by itself, as the cloud's list says. */
    var failed = false

    /** Its worker has been seen up at least once in this term. */
    var hasBeenUp = false

    /** Tasks that may be running on it. */
    var tasks = 0

    /** It gets no more tasks and is terminated when it is empty. */
    var draining = false

    /** It is to be terminated, whatever runs on it. */
    var terminating = false
}

/** The machines of the fleet, as the cloud and the partitions show them. */
internal class FleetInventory {
    private val machines = LinkedHashMap<String, FleetMachine>()

    /** Machines that are gone: the cloud's list, which lags, must not bring them back. */
    private val terminated = HashSet<String>()

    /** All machines. */
    val all: Collection<FleetMachine> get() = machines.values

    /** Machines that should get no more tasks. */
    fun cordoned(): Set<String> = machines.filterValues { it.terminating || it.draining }.keys

    /** The first [limit] machines to terminate. */
    fun toTerminate(limit: Int): List<String> = machines.filterValues { it.terminating }.keys.take(limit)

    /** The machines that serve the demand: neither terminating nor among [excluded]. */
    fun serving(excluded: Set<String>): Collection<FleetMachine> =
        if (excluded.isEmpty()) {
            machines.values.filter { !it.terminating }
        } else {
            machines.filter { (name, machine) -> !machine.terminating && name !in excluded }.values
        }

    /** Adds a machine, unless it is known already or has been terminated. */
    fun add(
        name: String,
        typeName: String,
        zone: String,
        spot: Boolean,
        provisionedUs: Long,
    ) {
        if (name !in terminated) machines.getOrPut(name) { FleetMachine(typeName, zone, spot, provisionedUs) }
    }

    /** Takes over the cloud's list. A machine that is missing from it stays: the list lags. */
    fun applyListing(
        listed: List<ListedMachine>,
        now: Long,
    ) {
        for (row in listed) {
            add(row.name, row.typeName, row.zone, row.spot, now - row.ageUs)
            machines[row.name]?.failed = row.status == ListedStatus.FAILED
        }
    }

    /** Takes over what the partitions show, and marks machines that are of no more use for termination. */
    fun applyStatus(
        statusOf: (String) -> MachineStatus?,
        machineTypes: Map<String, MachineType>,
        now: Long,
    ) {
        // A machine that hangs is replaced before its lease has expired: its termination is the fastest proof that its tasks may
        // run elsewhere. Where many are silent, the network is at fault, not they.
        val silent = machines.keys.filter { statusOf(it)?.silent == true }
        if (silent.size <= maxOf(MIN_SILENT_LIMIT, machines.size / SILENT_SHARE)) terminate(silent)
        for ((name, machine) in machines) update(machine, statusOf(name), machineTypes[machine.typeName]?.bootUs ?: DEFAULT_BOOT_US, now)
    }

    private fun update(
        machine: FleetMachine,
        status: MachineStatus?,
        bootUs: Long,
        now: Long,
    ) {
        if (status != null && status.up) machine.hasBeenUp = true
        machine.tasks = status?.tasks ?: 0
        val bootFailed = !machine.hasBeenUp && now - machine.provisionedUs > BOOT_TIMEOUT_FACTOR * bootUs + BOOT_TIMEOUT_MARGIN_US
        if (status?.lost == true || status?.faulty == true || machine.failed || bootFailed) machine.terminating = true
    }

    /** Marks machines for termination; unknown names are ignored. */
    fun terminate(names: Collection<String>) = names.forEach { machines[it]?.terminating = true }

    /** These machines are proven gone. */
    fun remove(names: Collection<String>) {
        names.forEach { machines.remove(it) }
        terminated += names
    }

    private companion object {
        /** Up to so many silent machines are terminated at once, or one part in [SILENT_SHARE] of the fleet where that is more. */
        const val MIN_SILENT_LIMIT = 2
        const val SILENT_SHARE = 100

        /** A machine that has not come up after so many boot times and the margin never will. */
        const val BOOT_TIMEOUT_FACTOR = 3
        const val BOOT_TIMEOUT_MARGIN_US = 10 * SECOND

        /** Where the machine types are not known yet. */
        const val DEFAULT_BOOT_US = 60 * SECOND
    }
}
