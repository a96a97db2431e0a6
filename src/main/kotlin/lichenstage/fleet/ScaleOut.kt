package lichenstage.fleet

import lichenstage.cloud.ProvisionRequest
import lichenstage.cloud.ProvisionResult
import lichenstage.common.SECOND
import lichenstage.model.MachineType
import kotlin.math.ceil

/**
 * Decides which machines to provision next.
 *
 * Names of requests are unique over all leaders, and a request with an indeterminate outcome is repeated under its name until it is
 * answered (invariant 14).
 */
internal class ScaleOut(
    private val term: Long,
    private val capacity: CapacityEstimator,
    private val replacements: ReplacementRequests,
) {
    private val backoff = ProvisionBackoff()
    private var requestCounter = 0L
    private var lastSpotSwapAtUs = Long.MIN_VALUE / 2

    /** The request that is under way, or whose outcome is not known. */
    var pendingRequest: ProvisionRequest? = null
        private set

    /** A request for a replacement, or null. */
    fun createReplacementRequest(nowUs: Long): ProvisionRequest? {
        val replacement = replacements.next(backoff, nowUs) ?: return null
        val request = createRequest(CapacityPool(replacement.typeName, replacement.zone, replacement.isSpot), 1)
        replacements.assign(replacement.id, request)
        return request
    }

    /** A request for machines that the demand lacks, or else for a spot instance in place of an on-demand one; null where none is due. */
    fun createDemandRequest(
        machineTypes: Collection<MachineType>,
        servingMachines: (typeName: String) -> List<FleetMachine>,
        nowUs: Long,
    ): ProvisionRequest? =
        machineTypes.firstNotNullOfOrNull { machineType ->
            val machines = servingMachines(machineType.name)
            val shortage = capacity.neededMachines(machineType.name, nowUs) - machines.size
            if (shortage >
                0
            ) {
                createShortageRequest(machineType, machines, shortage, nowUs)
            } else {
                createSpotSwapRequest(machineType, machines, nowUs)
            }
        }

    /** On-demand machines come first as far as jobs need them that may not run on spot instances; all others come after the spot ones. */
    private fun createShortageRequest(
        machineType: MachineType,
        machines: List<FleetMachine>,
        shortage: Int,
        nowUs: Long,
    ): ProvisionRequest? {
        val allowsSpot = capacity.allowsSpot(machineType.name)
        val onDemandFirst = machines.count { !it.isSpot } < capacity.minOnDemandMachines(machineType.name) || !allowsSpot
        val spotChoices = if (onDemandFirst) listOf(false, true) else listOf(true, false)
        return spotChoices
            .filter { spot -> !spot || allowsSpot }
            .firstNotNullOfOrNull { spot -> createRequestInEmptiestZone(machineType, machines, spot, shortage, nowUs) }
    }

    private fun createRequestInEmptiestZone(
        machineType: MachineType,
        machines: List<FleetMachine>,
        spot: Boolean,
        shortage: Int,
        nowUs: Long,
    ): ProvisionRequest? {
        val zone =
            machineType.zones
                .filter { backoff.allows(CapacityPool(machineType.name, it, spot), nowUs) }
                .minByOrNull { zone -> machines.count { it.zone == zone } } ?: return null
        val count = ceil(shortage.toDouble() / machineType.zones.size).toInt().coerceIn(1, MAX_MACHINES_PER_REQUEST)
        return createRequest(CapacityPool(machineType.name, zone, spot), count)
    }

    /** The surplus that the spot instance makes will drain the on-demand machine. */
    private fun createSpotSwapRequest(
        machineType: MachineType,
        machines: List<FleetMachine>,
        nowUs: Long,
    ): ProvisionRequest? {
        if (machineType.spotPrice >= machineType.onDemandPrice || nowUs - lastSpotSwapAtUs < SPOT_SWAP_INTERVAL_US) return null
        if (machines.none { !it.isSpot && !it.isDraining } || !capacity.allowsSpot(machineType.name)) return null
        val zone = machineType.zones.firstOrNull { backoff.allows(CapacityPool(machineType.name, it, true), nowUs) } ?: return null
        lastSpotSwapAtUs = nowUs
        return createRequest(CapacityPool(machineType.name, zone, true), 1)
    }

    private fun createRequest(
        pool: CapacityPool,
        count: Int,
    ) = ProvisionRequest("h$term-${++requestCounter}", pool.typeName, pool.zone, pool.isSpot, count).also { pendingRequest = it }

    /** The cloud's answer to a request; returns the names of the machines that were provisioned. */
    fun onProvisionReply(
        request: ProvisionRequest,
        result: ProvisionResult,
        nowUs: Long,
    ): List<String> {
        val pool = CapacityPool(request.typeName, request.zone, request.spot)
        when (result) {
            is ProvisionResult.Provisioned -> {
                pendingRequest = null
                if (result.names.size < request.count) backoff.onRefusal(pool, nowUs) else backoff.onSuccess(pool)
                if (result.names.isNotEmpty()) replacements.onProvisioned(request)
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
        /** The cloud's limit. */
        const val MAX_MACHINES_PER_REQUEST = 50
        const val SPOT_SWAP_INTERVAL_US = 10 * SECOND
    }
}
