package lichenstage.fleet

import lichenstage.cloud.ListedMachine
import lichenstage.cloud.ProvisionRequest
import lichenstage.cloud.ProvisionResult
import lichenstage.common.SECOND
import lichenstage.model.MachineType

/**
 * Scales the fleet out and in. Does no I/O: it receives observations, returns the next call to the cloud, and receives the outcome of the
 * call.
 *
 * Only one call is in flight at a time. The order of calls is: a provision request with an indeterminate outcome, terminations, the list
 * of machines, replacements, and machines for the demand.
 */
class FleetCore(
    term: Long,
    policy: FleetPolicy,
    forecast: DemandForecast,
    machineListLagUs: Long,
) {
    private val inventory = FleetInventory(machineListLagUs)
    private val capacityEstimator = CapacityEstimator(policy, forecast)
    private val replacementRequests = ReplacementRequests()
    private val scaleIn = ScaleIn(policy, forecast, capacityEstimator)
    private val scaleOut = ScaleOut(term, capacityEstimator, replacementRequests)
    private var machineTypes = emptyMap<String, MachineType>()
    private var excludedMachines = emptySet<String>()
    private var lastListRequestAtUs = Long.MIN_VALUE / 2
    private var lastTerminateRequestAtUs = Long.MIN_VALUE / 2
    private var hasReceivedList = false

    /** Returns the names of the machines that should get no more tasks. */
    fun cordonedMachines(): Set<String> = inventory.cordonedMachines()

    /** Returns the names of the machines that were found to be gone and whose termination is not confirmed yet. */
    fun vanishedMachines(): Set<String> = inventory.vanishedMachines()

    /**
     * Adds a machine that a record or a partition contains. If the age of the machine is unknown, [provisionedAtUs] is the current time.
     */
    fun addMachine(
        name: String,
        typeName: String,
        zone: String,
        isSpot: Boolean,
        provisionedAtUs: Long,
    ) = inventory.add(name, typeName, zone, isSpot, provisionedAtUs)

    /** Applies the cloud's list of machines, which lags behind the actual state. */
    fun onMachinesListed(
        machines: List<ListedMachine>,
        nowUs: Long,
    ) {
        hasReceivedList = true
        inventory.applyListing(machines, lastListRequestAtUs, nowUs)
    }

    /** Applies an observation, and decides which machines to drain and to terminate. */
    fun observe(
        observation: FleetObservation,
        nowUs: Long,
    ) {
        machineTypes = observation.machineTypes
        excludedMachines = observation.excludedMachines
        capacityEstimator.update(observation.demand)
        inventory.applyStatus(observation.statusOf, machineTypes, nowUs)
        scaleIn.drainSurplus(inventory.servingMachines(excludedMachines), nowUs)
    }

    /** Requests a replacement, which is provisioned regardless of the demand. */
    fun requestReplacement(request: ReplacementRequest) = replacementRequests.add(request)

    /** Returns the id of the replacement that a provision request was sent for; null if it was sent for the demand. */
    fun replacementIdOf(request: ProvisionRequest): String? = replacementRequests.idOf(request)

    /** Marks machines for termination. Once they are terminated, it is certain that nothing runs on them any more. */
    fun terminate(machines: Collection<String>) = inventory.terminate(machines)

    /** Returns the next call to make; null if there is none. */
    fun nextCall(nowUs: Long): CloudCall? {
        scaleOut.pendingRequest?.let { return CloudCall.Provision(it) }
        val toTerminate = inventory.machinesToTerminate(MAX_MACHINES_PER_TERMINATION)
        if (toTerminate.isNotEmpty() && nowUs - lastTerminateRequestAtUs >= TERMINATE_INTERVAL_US) {
            lastTerminateRequestAtUs = nowUs
            return CloudCall.Terminate(toTerminate)
        }
        if (nowUs - lastListRequestAtUs > LIST_INTERVAL_US) {
            lastListRequestAtUs = nowUs
            return CloudCall.ListAll
        }
        return nextProvisionRequest(nowUs)?.let { CloudCall.Provision(it) }
    }

    private fun nextProvisionRequest(nowUs: Long): ProvisionRequest? {
        scaleOut.createReplacementRequest(nowUs)?.let { return it }
        // A new leader does not know which machines its predecessor has provisioned, so it waits for the first list.
        return if (hasReceivedList) scaleOut.createDemandRequest(machineTypes.values, ::servingMachinesOf, nowUs) else null
    }

    private fun servingMachinesOf(typeName: String) = inventory.servingMachines(excludedMachines).filter { it.typeName == typeName }

    /** Handles the outcome of a provision request. Returns the names of the provisioned machines. */
    fun onProvisionReply(
        request: ProvisionRequest,
        result: ProvisionResult,
        nowUs: Long,
    ): List<String> {
        val names = scaleOut.onProvisionReply(request, result, nowUs)
        names.forEach { addMachine(it, request.typeName, request.zone, request.isSpot, nowUs) }
        return names
    }

    /** Removes machines that are proven gone. */
    fun onMachinesTerminated(names: List<String>) = inventory.remove(names)

    /** Returns a text for the log: for each machine type, its machines and the values that determine their number. */
    fun describe(nowUs: Long): String = machineTypes.keys.joinToString("; ") { describe(it, nowUs) }

    private fun describe(
        typeName: String,
        nowUs: Long,
    ): String {
        val machines = inventory.allMachines.filter { it.typeName == typeName }
        val demand = capacityEstimator.demandFor(typeName)
        val waitingS = demand.sumOf { it.waitingWorkUs } / SECOND / maxOf(machines.size, 1)
        return "type=$typeName machines=${machines.size} spot=${machines.count { it.isSpot }} up=${machines.count { it.hasBeenUp }} " +
            "idle=${machines.count { it.hasBeenUp && it.taskCount == 0 }} draining=${machines.count { it.isDraining }} " +
            "unreported=${machines.count { !it.isReported }} unlisted=${machines.count { it.isMissingFromList }} " +
            "unsound=${machines.count { it.health != MachineHealth.SOUND }} " +
            "needed=${capacityEstimator.neededMachines(typeName, nowUs)} " +
            "expected=%.0f busy=%.0f waitingS=%.0f ".format(
                capacityEstimator.expectedMachines(typeName, nowUs),
                demand.sumOf { it.busyMachines },
                waitingS,
            ) +
            "machinesByZone=${machines.groupingBy { it.zone }.eachCount()} " +
            "waitingDemandsByZone=${demand.filter { it.waitingWorkUs > 0 }.groupingBy { it.zone ?: "any" }.eachCount()}"
    }

    private companion object {
        const val LIST_INTERVAL_US = 4 * SECOND
        const val TERMINATE_INTERVAL_US = SECOND

        /** The cloud's limit on the number of machines in one terminate call. */
        const val MAX_MACHINES_PER_TERMINATION = 100
    }
}
