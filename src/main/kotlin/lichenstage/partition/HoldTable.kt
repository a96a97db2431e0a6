package lichenstage.partition

import lichenstage.cluster.HeldSlots
import lichenstage.cluster.Offer
import lichenstage.cluster.PlacementRequest
import lichenstage.cluster.PlacementScore
import lichenstage.common.SECOND
import lichenstage.model.JobRequirements
import lichenstage.model.MachineLimits
import lichenstage.model.Resources
import org.agrona.collections.Long2ObjectHashMap

/** Capacity that is held for placement requests, granted in the order of their stamps, until it is used, released or has expired. */
internal class HoldTable(
    private val zone: String,
    private val limitsOf: (String) -> MachineLimits?,
    private val requirementsOf: (String) -> JobRequirements?,
    private val findMachine: (String) -> Machine?,
) {
    /** The tasks for which [request] holds capacity, by machine. */
    private class Hold(
        val request: PlacementRequest,
        val grantedAtUs: Long,
        val taskCounts: MutableMap<String, Int>,
    )

    private val holdsByRequest = Long2ObjectHashMap<Hold>()

    /** The request that holds capacity on [machine] under [requestNumber]; null where nothing is held any more. */
    fun findRequest(
        requestNumber: Long,
        machine: String,
    ): PlacementRequest? = holdsByRequest.get(requestNumber)?.takeIf { (it.taskCounts[machine] ?: 0) > 0 }?.request

    /** Uses the capacity of one task. */
    fun consume(
        requestNumber: Long,
        machine: Machine,
    ) {
        val hold = holdsByRequest.get(requestNumber) ?: return
        hold.taskCounts.merge(machine.name, -1, Int::plus)
        machine.adjustHold(hold.request.requirements.resources, -1)
    }

    /** Releases what is still held under [requestNumber]. */
    fun release(requestNumber: Long) {
        val hold = holdsByRequest.remove(requestNumber) ?: return
        for ((name, count) in hold.taskCounts) if (count > 0) findMachine(name)?.adjustHold(hold.request.requirements.resources, -count)
    }

    fun releaseAll() = holdsByRequest.keys.toList().forEach(::release)

    /** Releases the holds that have expired. */
    fun expire(nowUs: Long) {
        if (holdsByRequest.isEmpty()) return
        holdsByRequest.values
            .filter { nowUs - it.grantedAtUs > HOLD_LIFETIME_US }
            .map { it.request.requestNumber }
            .forEach(::release)
    }

    /**
     * An offer for each request, in the order of their stamps. Where a job has several requests, the later ones are for what the earlier
     * ones were not granted.
     *
     * @param usableMachines the machines that take tasks
     * @param hasJobEnded whether a job is known to be over, which its leader may not know yet; it is granted nothing
     */
    fun grantAll(
        requests: List<PlacementRequest>,
        usableMachines: Sequence<Machine>,
        nowUs: Long,
        hasJobEnded: (String) -> Boolean,
    ): List<Offer> {
        if (requests.isEmpty()) return emptyList()
        val grantedTasks = HashMap<String, Int>()
        val candidates = selectCandidates(requests, usableMachines)
        return requests.sortedBy { it.requestNumber }.map { request ->
            val maxTasks = request.count - (grantedTasks[request.job] ?: 0)
            val offer = if (hasJobEnded(request.job)) emptyOffer(request) else grant(request, maxTasks, candidates, nowUs)
            grantedTasks.merge(request.job, offer.slots.sumOf { it.count }, Int::plus)
            offer
        }
    }

    private fun emptyOffer(request: PlacementRequest) = Offer(request.requestNumber, emptyList())

    /**
     * The machines with capacity for the smallest of the requests. In a backlog nearly all are full, and dozens of requests that each look
     * at every machine would cost more than everything else that a partition does.
     */
    private fun selectCandidates(
        requests: List<PlacementRequest>,
        usableMachines: Sequence<Machine>,
    ): List<Machine> {
        val requestedResources = requests.map { it.requirements.resources }
        val smallest =
            Resources(requestedResources.minOf { it.cores }, requestedResources.minOf { it.gpus }, requestedResources.minOf { it.memGb })
        return usableMachines
            .filter { machine ->
                limitsOf(machine.typeName)?.let { machine.countFreeSlots(smallest, it.capacity, requirementsOf) > 0 } == true
            }.toList()
    }

    /** Holds capacity for as many tasks of the request as fit, up to [maxTasks], on the roomiest of the [candidates] (worst fit). */
    private fun grant(
        request: PlacementRequest,
        maxTasks: Int,
        candidates: List<Machine>,
        nowUs: Long,
    ): Offer {
        if (request.zone != null && request.zone != zone) return emptyOffer(request)
        val heldSlots = PlacementScore.selectRoomiest(candidates.mapNotNull { findFreeSlots(request, it) }, maxTasks)
        if (heldSlots.isNotEmpty()) {
            holdsByRequest[request.requestNumber] = Hold(request, nowUs, heldSlots.associateTo(HashMap()) { it.machine to it.count })
            heldSlots.forEach { findMachine(it.machine)!!.adjustHold(request.requirements.resources, it.count) }
        }
        return Offer(request.requestNumber, heldSlots)
    }

    /** What a machine has for a request; null where it has nothing. */
    private fun findFreeSlots(
        request: PlacementRequest,
        machine: Machine,
    ): HeldSlots? {
        if (request.allowedTypes != null && machine.typeName !in request.allowedTypes) return null
        if (machine.spot && !request.isSpot) return null
        val hasImage = machine.hasImage(request.requirements.image)
        if (request.isImageRequired && !hasImage) return null
        val limits = limitsOf(machine.typeName) ?: return null
        val tasks = machine.countFreeSlots(request.requirements.resources, limits.capacity, requirementsOf)
        return if (tasks > 0) HeldSlots(machine.name, tasks, tasks, hasImage) else null
    }

    private companion object {
        const val HOLD_LIFETIME_US = 5 * SECOND
    }
}
