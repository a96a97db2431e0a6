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
    /** When the machine was provisioned, on the steady clock. */
    val provisionedAtUs: Long,
) {
    /** Whether the machine has stopped by itself, according to the cloud's list. */
    var hasFailed = false

    /** Whether the worker of the machine has been seen up at least once in this term. */
    var hasBeenUp = false

    /** Whether the present owner of the machine's partition knows the machine. */
    var isReported = false

    /** Whether the machine is missing from a list of the cloud that must contain it unless it is gone. */
    var isMissingFromList = false

    /** The number of tasks that may be running on the machine. */
    var taskCount = 0

    /** Whether the machine gets no more tasks and is terminated once it is empty. */
    var isDraining = false

    /** Whether the machine is to be terminated, even if tasks run on it. */
    var isTerminating = false

    /** What the failures of tasks on the machine say about it. */
    var health = MachineHealth.SOUND

    /** Whether the machine is idle and counts as no capacity, since it is not known whether tasks can run on it. */
    var isDiscounted = false

    /** Whether the machine serves the demand. */
    val isServing get() = !isTerminating && !isDiscounted && health != MachineHealth.DEFECTIVE

    /** Whether the machine was found to be gone: it is missing from the cloud's list, and its worker is not heard of. */
    var isVanished = false
}

/**
 * The machines of the fleet, as the cloud and the partitions report them.
 *
 * @param machineListLagUs the time by which the cloud's list lags behind the actual state; at times it is twice as much
 */
internal class FleetInventory(
    machineListLagUs: Long,
) {
    /** The time after which a machine is in every list that is requested, unless it is gone. */
    private val listingDelayUs = MAX_LIST_LAG_FACTOR * machineListLagUs + LISTING_MARGIN_US

    private val machines = LinkedHashMap<String, FleetMachine>()

    /** The names of machines that are gone. They must not be added again, although the cloud's list lags and may still contain them. */
    private val terminatedNames = HashSet<String>()

    /** All machines, including those that are draining or marked for termination. */
    val allMachines: Collection<FleetMachine> get() = machines.values

    /** Returns the names of the machines that should get no more tasks. */
    fun cordonedMachines(): Set<String> =
        machines
            .filterValues {
                it.isTerminating || it.isDraining || it.health == MachineHealth.DEFECTIVE
            }.keys

    /** Returns the names of the first [limit] machines to terminate. */
    fun machinesToTerminate(limit: Int): List<String> = machines.filterValues { it.isTerminating }.keys.take(limit)

    /** Returns the names of the machines that were found to be gone and whose termination is not confirmed yet. */
    fun vanishedMachines(): Set<String> = machines.filterValues { it.isVanished }.keys

    /** Returns the machines that serve the demand, except those in [excludedNames]. */
    fun servingMachines(excludedNames: Set<String>): Collection<FleetMachine> =
        if (excludedNames.isEmpty()) {
            machines.values.filter { it.isServing }
        } else {
            machines.filter { (name, machine) -> machine.isServing && name !in excludedNames }.values
        }

    /** Adds a machine, unless it has already been added or has been terminated. */
    fun add(
        name: String,
        typeName: String,
        zone: String,
        isSpot: Boolean,
        provisionedAtUs: Long,
    ) {
        if (name !in terminatedNames) machines.getOrPut(name) { FleetMachine(typeName, zone, isSpot, provisionedAtUs) }
    }

    /**
     * Applies the cloud's list, which was requested at [requestedAtUs].
     *
     * A machine that is missing from the list is not removed, because only the reply to its termination proves that nothing runs on it. But
     * once listed, a machine stays listed until it is gone, so a machine that is old enough to be in every list that the lag allows, and is
     * not in this one, serves the demand no longer unless its worker is heard of.
     */
    fun applyListing(
        listed: List<ListedMachine>,
        requestedAtUs: Long,
        nowUs: Long,
    ) {
        for (row in listed) {
            add(row.name, row.typeName, row.zone, row.isSpot, nowUs - row.ageUs)
            machines[row.name]?.hasFailed = row.status == ListedStatus.FAILED
        }
        val listedNames = listed.mapTo(HashSet()) { it.name }
        for ((name, machine) in machines) {
            machine.isMissingFromList = name !in listedNames && requestedAtUs - machine.provisionedAtUs > listingDelayUs
        }
    }

    /** Applies the status that the partitions report, and marks lost, faulty, failed, silent and vanished machines for termination. */
    fun applyStatus(
        statusOf: (String) -> MachineStatus?,
        machineTypes: Map<String, MachineType>,
        nowUs: Long,
    ) {
        // A silent machine is terminated before its lease has expired, because its termination is the fastest proof that its tasks may
        // run elsewhere. If many machines are silent at once, the cause is the network and the machines are kept.
        val silentMachines = machines.keys.filter { statusOf(it)?.isSilent == true }
        if (silentMachines.size <= maxOf(MIN_SILENT_LIMIT, machines.size / SILENT_FLEET_DIVISOR)) terminate(silentMachines)
        for ((name, machine) in machines) update(machine, statusOf(name), machineTypes[machine.typeName]?.bootUs ?: DEFAULT_BOOT_US, nowUs)
        discountSuspects()
    }

    /**
     * Decides which idle machines count as no capacity because tasks of a job have failed there, so that another machine is provisioned for
     * the job. The number is limited, because the job may be mistaken and fail on every machine.
     */
    private fun discountSuspects() {
        val limit = maxOf(MIN_DISCOUNT_LIMIT, machines.size / DISCOUNT_FLEET_DIVISOR)
        var discounted = 0
        for (machine in machines.values) {
            val isIdleSuspect = machine.health == MachineHealth.SUSPECT && machine.taskCount == 0 && !machine.isDraining
            machine.isDiscounted = isIdleSuspect && discounted < limit
            if (machine.isDiscounted) discounted++
        }
    }

    private fun update(
        machine: FleetMachine,
        status: MachineStatus?,
        bootUs: Long,
        nowUs: Long,
    ) {
        machine.isReported = status != null
        if (status != null && status.isUp) machine.hasBeenUp = true
        machine.taskCount = status?.taskCount ?: 0
        machine.health = status?.health ?: MachineHealth.SOUND
        if (machine.isMissingFromList && status?.isSilent != false) {
            machine.isVanished = true
            machine.isTerminating = true
        }
        val hasBootFailed = !machine.hasBeenUp && nowUs - machine.provisionedAtUs > BOOT_TIMEOUT_FACTOR * bootUs + BOOT_TIMEOUT_MARGIN_US
        val isUnusable = machine.health == MachineHealth.FAULTY || (machine.health == MachineHealth.DEFECTIVE && machine.taskCount == 0)
        if (status?.isLost == true || isUnusable || machine.hasFailed || hasBootFailed) machine.isTerminating = true
    }

    /** Marks machines for termination. Unknown names are ignored. */
    fun terminate(names: Collection<String>) = names.forEach { machines[it]?.isTerminating = true }

    /** Removes machines that are proven gone. */
    fun remove(names: Collection<String>) {
        names.forEach { machines.remove(it) }
        terminatedNames += names
    }

    private companion object {
        /**
         * Silent machines are terminated only if there are at most this many of them. In large fleets, the limit is the number of machines
         * divided by [SILENT_FLEET_DIVISOR].
         */
        const val MIN_SILENT_LIMIT = 2
        const val SILENT_FLEET_DIVISOR = 100

        /** At most this many suspect machines count as no capacity, or in large fleets one in [DISCOUNT_FLEET_DIVISOR]. */
        const val MIN_DISCOUNT_LIMIT = 3
        const val DISCOUNT_FLEET_DIVISOR = 50

        /** A machine that has not come up after this many boot times plus the margin is considered failed. */
        const val BOOT_TIMEOUT_FACTOR = 3
        const val BOOT_TIMEOUT_MARGIN_US = 10 * SECOND

        /** The boot time that is assumed while the machine types are not known. */
        const val DEFAULT_BOOT_US = 60 * SECOND

        /** The cloud's list lags by up to this many times its usual lag. */
        const val MAX_LIST_LAG_FACTOR = 2
        const val LISTING_MARGIN_US = 2 * SECOND
    }
}
