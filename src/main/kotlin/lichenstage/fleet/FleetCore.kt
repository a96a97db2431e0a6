package lichenstage.fleet

import lichenstage.cloud.ListedMachine
import lichenstage.cloud.ProvisionRequest
import lichenstage.cloud.ProvisionResult
import lichenstage.common.SECOND
import lichenstage.model.MachineType

/**
 * Scales the fleet out and in. Plain code: it takes observations, names the next call to the cloud, and takes its outcome.
 *
 * One call is under way at a time. The calls come in this order: the provision request whose outcome is not known, machines to
 * terminate, the list of machines, replacements, and what the demand asks for.
 */
class FleetCore(
    term: Long,
    policy: FleetPolicy,
    forecast: DemandForecast,
) {
    private val inventory = FleetInventory()
    private val capacity = CapacityEstimate(policy, forecast)
    private val replacements = ReplacementRequests()
    private val scaleIn = ScaleIn(policy, forecast, capacity)
    private val scaleOut = ScaleOut(term, capacity, replacements)
    private var machineTypes = emptyMap<String, MachineType>()
    private var excludedMachines = emptySet<String>()
    private var listRequestedUs = Long.MIN_VALUE / 2
    private var terminateRequestedUs = Long.MIN_VALUE / 2
    private var hasBeenListed = false

    /** Machines that should get no more tasks. */
    fun cordoned(): Set<String> = inventory.cordoned()

    /** The machine exists, as its record or its partition shows. Where its age is not known, [provisionedUs] is the time now. */
    fun addMachine(
        name: String,
        typeName: String,
        zone: String,
        spot: Boolean,
        provisionedUs: Long,
    ) = inventory.add(name, typeName, zone, spot, provisionedUs)

    /** Takes over the cloud's list of machines, which lags. */
    fun machinesListed(
        machines: List<ListedMachine>,
        now: Long,
    ) {
        hasBeenListed = true
        inventory.applyListing(machines, now)
    }

    /** Takes what is observed now, and decides which machines are drained and terminated. */
    fun observe(
        observation: FleetObservation,
        now: Long,
    ) {
        machineTypes = observation.machineTypes
        excludedMachines = observation.excludedMachines
        capacity.update(observation.demand)
        inventory.applyStatus(observation.statusOf, machineTypes, now)
        scaleIn.drainSurplus(inventory.serving(excludedMachines), now)
    }

    /** Requests a machine whatever the demand. */
    fun requestReplacement(request: ReplacementRequest) = replacements.add(request)

    /** The id of the replacement that a provision request was sent for; null where it was sent for the demand. */
    fun replacementIdOf(request: ProvisionRequest): String? = replacements.idOf(request)

    /** Marks machines for termination, which proves that nothing runs on them any more. */
    fun terminate(machines: Collection<String>) = inventory.terminate(machines)

    /** The next call to make, or null. */
    fun nextCall(now: Long): CloudCall? {
        scaleOut.pending?.let { return CloudCall.Provision(it) }
        val toTerminate = inventory.toTerminate(MAX_MACHINES_PER_TERMINATION)
        if (toTerminate.isNotEmpty() && now - terminateRequestedUs >= TERMINATE_INTERVAL_US) {
            terminateRequestedUs = now
            return CloudCall.Terminate(toTerminate)
        }
        if (now - listRequestedUs > LIST_INTERVAL_US) {
            listRequestedUs = now
            return CloudCall.ListAll
        }
        return provisionRequest(now)?.let { CloudCall.Provision(it) }
    }

    private fun provisionRequest(now: Long): ProvisionRequest? {
        scaleOut.forReplacement(now)?.let { return it }
        // A new leader does not know what the one before it provisioned.
        return if (hasBeenListed) scaleOut.forDemand(machineTypes.values, ::servingOf, now) else null
    }

    private fun servingOf(typeName: String) = inventory.serving(excludedMachines).filter { it.typeName == typeName }

    /** The outcome of a provision request; returns the names of the machines that were provisioned. */
    fun provisionAnswered(
        request: ProvisionRequest,
        result: ProvisionResult,
        now: Long,
    ): List<String> {
        val names = scaleOut.answered(request, result, now)
        names.forEach { addMachine(it, request.typeName, request.zone, request.spot, now) }
        return names
    }

    /** These machines are proven gone. */
    fun machinesTerminated(names: List<String>) = inventory.remove(names)

    /** For the log: the machines of each type, and what decides on their number. */
    fun describe(now: Long): String = machineTypes.keys.joinToString("; ") { describe(it, now) }

    private fun describe(
        typeName: String,
        now: Long,
    ): String {
        val machines = inventory.all.filter { it.typeName == typeName }
        val demand = capacity.demandFor(typeName)
        val waitingS = demand.sumOf { it.waitingUs } / SECOND / maxOf(machines.size, 1)
        return "type=$typeName machines=${machines.size} spot=${machines.count { it.spot }} up=${machines.count { it.hasBeenUp }} " +
            "idle=${machines.count { it.hasBeenUp && it.tasks == 0 }} draining=${machines.count { it.draining }} " +
            "needed=${capacity.needed(typeName, now)} " +
            "expected=%.0f busy=%.0f waitingS=%.0f".format(capacity.expected(typeName, now), demand.sumOf { it.busy }, waitingS)
    }

    private companion object {
        const val LIST_INTERVAL_US = 4 * SECOND
        const val TERMINATE_INTERVAL_US = SECOND

        /** The cloud's limit. */
        const val MAX_MACHINES_PER_TERMINATION = 100
    }
}
