package lichenstage.fleet

import lichenstage.cloud.ProvisionRequest
import lichenstage.cloud.ProvisionResult
import lichenstage.common.SECOND
import lichenstage.model.MachineType
import kotlin.math.ceil

/**
 * Decides which machines to provision next.
 *
 * The names of requests are unique across all leaders. A request with an indeterminate outcome is repeated under the same name until its
 * outcome is known (invariant 14).
 */
internal class ScaleOut(
    private val term: Long,
    private val capacityEstimator: CapacityEstimator,
    private val replacementRequests: ReplacementRequests,
) {
    private val backoff = ProvisionBackoff()
    private var requestCounter = 0L
    private var lastSpotSwapAtUs = Long.MIN_VALUE / 2

    /** The request that is in flight or has an indeterminate outcome; null if there is none. */
    var pendingRequest: ProvisionRequest? = null
        private set

    /** Creates a request for a replacement; null if none is due. */
    fun createReplacementRequest(nowUs: Long): ProvisionRequest? {
        val replacement = replacementRequests.next(backoff, nowUs) ?: return null
        val request = createRequest(CapacityPool(replacement.typeName, replacement.zone, replacement.isSpot), 1)
        replacementRequests.assign(replacement.id, request)
        return request
    }

    /**
     * Creates a request for machines that are missing for the demand. If none are missing, creates a request for a spot machine in place of
     * an on-demand one. Returns null if no request is due.
     */
    fun createDemandRequest(
        machineTypes: Collection<MachineType>,
        servingMachines: (typeName: String) -> List<FleetMachine>,
        nowUs: Long,
    ): ProvisionRequest? =
        machineTypes.firstNotNullOfOrNull { machineType ->
            val machines = servingMachines(machineType.name)
            requestRestrictedMachines(machineType, machines, nowUs) ?: requestUnrestrictedMachines(machineType, machines, nowUs)
        }

    /** Creates a request for machines that are missing for jobs which can only use some of the machines of their type. */
    private fun requestRestrictedMachines(
        machineType: MachineType,
        machines: List<FleetMachine>,
        nowUs: Long,
    ): ProvisionRequest? =
        capacityEstimator.restrictedScopes(machineType.name).firstNotNullOfOrNull { scope ->
            val machinesInScope = machines.filter { it in scope }
            val shortage = capacityEstimator.neededMachines(scope, nowUs) - machinesInScope.size
            val spotChoices = if (capacityEstimator.allowsSpot(scope)) listOf(true, false) else listOf(false)
            if (shortage <= 0) {
                null
            } else {
                spotChoices.firstNotNullOfOrNull { requestInEmptiestZone(machineType, scope.zone, machinesInScope, it, shortage, nowUs) }
            }
        }

    /** Creates a request for machines that are missing for the whole demand, or for a cheaper machine if none are missing. */
    private fun requestUnrestrictedMachines(
        machineType: MachineType,
        machines: List<FleetMachine>,
        nowUs: Long,
    ): ProvisionRequest? {
        val shortage = capacityEstimator.neededMachines(machineType.name, nowUs) - machines.size
        if (shortage > 0) return requestMachines(machineType, machines, shortage, nowUs)
        return requestSpotSwap(machineType, machines, nowUs)
    }

    /**
     * Creates a request for missing machines. On-demand machines come first as long as jobs that may not run on spot machines need them.
     * After that, spot machines come before on-demand ones.
     */
    private fun requestMachines(
        machineType: MachineType,
        machines: List<FleetMachine>,
        shortage: Int,
        nowUs: Long,
    ): ProvisionRequest? {
        val allowsSpot = capacityEstimator.allowsSpot(machineType.name)
        val isOnDemandFirst = machines.count { !it.isSpot } < capacityEstimator.minOnDemandMachines(machineType.name) || !allowsSpot
        val spotChoices = if (isOnDemandFirst) listOf(false, true) else listOf(true, false)
        return spotChoices
            .filter { isSpot -> !isSpot || allowsSpot }
            .firstNotNullOfOrNull { isSpot -> requestInEmptiestZone(machineType, null, machines, isSpot, shortage, nowUs) }
    }

    /** Creates a request in the zone with the fewest of [machines], or in [onlyZone] if that is not null. */
    private fun requestInEmptiestZone(
        machineType: MachineType,
        onlyZone: String?,
        machines: List<FleetMachine>,
        isSpot: Boolean,
        shortage: Int,
        nowUs: Long,
    ): ProvisionRequest? {
        val zones = if (onlyZone == null) machineType.zones else listOf(onlyZone)
        val zone =
            zones
                .filter { backoff.allows(CapacityPool(machineType.name, it, isSpot), nowUs) }
                .minByOrNull { zone -> machines.count { it.zone == zone } } ?: return null
        val count = ceil(shortage.toDouble() / zones.size).toInt().coerceIn(1, MAX_MACHINES_PER_REQUEST)
        return createRequest(CapacityPool(machineType.name, zone, isSpot), count)
    }

    /**
     * Creates a request for a spot machine in place of an on-demand one. The spot machine creates a surplus, and scale-in then drains the
     * on-demand machine, unless jobs need it that cannot use the spot machine.
     */
    private fun requestSpotSwap(
        machineType: MachineType,
        machines: List<FleetMachine>,
        nowUs: Long,
    ): ProvisionRequest? {
        if (machineType.spotPrice >= machineType.onDemandPrice || nowUs - lastSpotSwapAtUs < SPOT_SWAP_INTERVAL_US) return null
        val restrictedNeed = RestrictedNeed(capacityEstimator, machineType.name, machines, nowUs)
        if (machines.none { !it.isSpot && !it.isDraining && restrictedNeed.canSpare(it) } ||
            !capacityEstimator.allowsSpot(machineType.name)
        ) {
            return null
        }
        val zone = machineType.zones.firstOrNull { backoff.allows(CapacityPool(machineType.name, it, true), nowUs) } ?: return null
        lastSpotSwapAtUs = nowUs
        return createRequest(CapacityPool(machineType.name, zone, true), 1)
    }

    private fun createRequest(
        pool: CapacityPool,
        count: Int,
    ) = ProvisionRequest("h$term-${++requestCounter}", pool.typeName, pool.zone, pool.isSpot, count).also { pendingRequest = it }

    /** Handles the cloud's reply to a request. Returns the names of the provisioned machines. */
    fun onProvisionReply(
        request: ProvisionRequest,
        result: ProvisionResult,
        nowUs: Long,
    ): List<String> {
        val pool = CapacityPool(request.typeName, request.zone, request.isSpot)
        when (result) {
            is ProvisionResult.Provisioned -> {
                pendingRequest = null
                if (result.names.size < request.count) backoff.onRefusal(pool, nowUs) else backoff.onSuccess(pool)
                if (result.names.isNotEmpty()) replacementRequests.onProvisioned(request)
                return result.names
            }

            ProvisionResult.NoCapacity -> {
                pendingRequest = null
                backoff.onRefusal(pool, nowUs)
            }

            ProvisionResult.Indeterminate -> {
                Unit
            }
        }
        return emptyList()
    }

    private companion object {
        /** The cloud's limit on the number of machines in one provision request. */
        const val MAX_MACHINES_PER_REQUEST = 50
        const val SPOT_SWAP_INTERVAL_US = 10 * SECOND
    }
}
