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
    private val capacity: CapacityEstimate,
    private val replacements: ReplacementRequests,
) {
    private val backoff = ProvisionBackoff()
    private var requestCounter = 0L
    private var spotSwapUs = Long.MIN_VALUE / 2

    /** The request that is under way, or whose outcome is not known. */
    var pending: ProvisionRequest? = null
        private set

    /** A request for a replacement, or null. */
    fun forReplacement(now: Long): ProvisionRequest? {
        val replacement = replacements.next(backoff, now) ?: return null
        val request = request(CapacityPool(replacement.typeName, replacement.zone, replacement.spot), 1)
        replacements.assign(replacement.id, request)
        return request
    }

    /** A request for machines that the demand lacks, or else for a spot instance in place of an on-demand one; null where none is due. */
    fun forDemand(
        machineTypes: Collection<MachineType>,
        serving: (typeName: String) -> List<FleetMachine>,
        now: Long,
    ): ProvisionRequest? =
        machineTypes.firstNotNullOfOrNull { machineType ->
            val machines = serving(machineType.name)
            val shortage = capacity.needed(machineType.name, now) - machines.size
            if (shortage > 0) forShortage(machineType, machines, shortage, now) else forSpotSwap(machineType, machines, now)
        }

    /** On-demand machines come first as far as jobs need them that may not run on spot instances; all others come after the spot ones. */
    private fun forShortage(
        machineType: MachineType,
        machines: List<FleetMachine>,
        shortage: Int,
        now: Long,
    ): ProvisionRequest? {
        val allowsSpot = capacity.allowsSpot(machineType.name)
        val onDemandFirst = machines.count { !it.spot } < capacity.onDemandOnly(machineType.name) || !allowsSpot
        val kinds = if (onDemandFirst) listOf(false, true) else listOf(true, false)
        return kinds
            .filter { spot -> !spot || allowsSpot }
            .firstNotNullOfOrNull { spot -> inEmptiestZone(machineType, machines, spot, shortage, now) }
    }

    private fun inEmptiestZone(
        machineType: MachineType,
        machines: List<FleetMachine>,
        spot: Boolean,
        shortage: Int,
        now: Long,
    ): ProvisionRequest? {
        val zone =
            machineType.zones
                .filter { backoff.allows(CapacityPool(machineType.name, it, spot), now) }
                .minByOrNull { zone -> machines.count { it.zone == zone } } ?: return null
        val count = ceil(shortage.toDouble() / machineType.zones.size).toInt().coerceIn(1, MAX_MACHINES_PER_REQUEST)
        return request(CapacityPool(machineType.name, zone, spot), count)
    }

    /** The surplus that the spot instance makes will drain the on-demand machine. */
    private fun forSpotSwap(
        machineType: MachineType,
        machines: List<FleetMachine>,
        now: Long,
    ): ProvisionRequest? {
        if (machineType.spotPrice >= machineType.price || now - spotSwapUs < SPOT_SWAP_INTERVAL_US) return null
        if (machines.none { !it.spot && !it.draining } || !capacity.allowsSpot(machineType.name)) return null
        val zone = machineType.zones.firstOrNull { backoff.allows(CapacityPool(machineType.name, it, true), now) } ?: return null
        spotSwapUs = now
        return request(CapacityPool(machineType.name, zone, true), 1)
    }

    private fun request(
        pool: CapacityPool,
        count: Int,
    ) = ProvisionRequest("h$term-${++requestCounter}", pool.typeName, pool.zone, pool.spot, count).also { pending = it }

    /** The cloud's answer to a request; returns the names of the machines that were provisioned. */
    fun answered(
        request: ProvisionRequest,
        result: ProvisionResult,
        now: Long,
    ): List<String> {
        val pool = CapacityPool(request.typeName, request.zone, request.spot)
        when (result) {
            is ProvisionResult.Provisioned -> {
                pending = null
                if (result.names.size < request.count) backoff.refused(pool, now) else backoff.succeeded(pool)
                if (result.names.isNotEmpty()) replacements.fulfilled(request)
                return result.names
            }

            ProvisionResult.NoCapacity -> {
                pending = null
                backoff.refused(pool, now)
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
