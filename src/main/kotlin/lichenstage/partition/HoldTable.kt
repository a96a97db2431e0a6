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

/**
 * The holds of a partition.
 *
 * A hold is capacity that is reserved for a placement request until the capacity is used or released, or the hold expires. The requests
 * of one leader frame are granted in the order of their numbers.
 */
internal class HoldTable(
    private val zone: String,
    private val limitsOf: (String) -> MachineLimits?,
    private val requirementsOf: (String) -> JobRequirements?,
    private val findMachine: (String) -> Machine?,
) {
    /** A hold, with the number of tasks for which it reserves capacity on each machine in [taskCounts]. */
    private class Hold(
        val request: PlacementRequest,
        val grantedAtUs: Long,
        val taskCounts: MutableMap<String, Int>,
    )

    private val holdsByRequest = Long2ObjectHashMap<Hold>()

    /** Returns the request with this number if it still holds capacity on [machine], otherwise null. */
    fun findRequest(
        requestNumber: Long,
        machine: String,
    ): PlacementRequest? = holdsByRequest.get(requestNumber)?.takeIf { (it.taskCounts[machine] ?: 0) > 0 }?.request

    /** Removes the capacity of one task from the hold, because the task starts on [machine]. */
    fun consume(
        requestNumber: Long,
        machine: Machine,
    ) {
        val hold = holdsByRequest.get(requestNumber) ?: return
        hold.taskCounts.merge(machine.name, -1, Int::plus)
        machine.adjustHold(hold.request.requirements.resources, -1)
    }

    /** Releases the remaining capacity of the hold. */
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
     * Grants the requests in the order of their numbers and returns an offer for each.
     *
     * If a job has several requests, a later request is only granted the tasks that the earlier ones were not granted.
     *
     * @param usableMachines the machines that accept new tasks
     * @param avoidedMachines the machines on which a job is granted nothing, by job id
     * @param hasJobEnded returns whether a job is known to have ended; such a job is granted nothing, even if the leader does not know yet
     */
    fun grantAll(
        requests: List<PlacementRequest>,
        usableMachines: Sequence<Machine>,
        avoidedMachines: Map<String, Set<String>>,
        nowUs: Long,
        hasJobEnded: (String) -> Boolean,
    ): List<Offer> {
        if (requests.isEmpty()) return emptyList()
        val grantedTasks = HashMap<String, Int>()
        val candidates = selectCandidates(requests, usableMachines)
        return requests.sortedBy { it.requestNumber }.map { request ->
            val maxTasks = request.count - (grantedTasks[request.job] ?: 0)
            val avoided = avoidedMachines[request.job].orEmpty()
            val allowedMachines = if (avoided.isEmpty()) candidates else candidates.filter { it.name !in avoided }
            val offer = if (hasJobEnded(request.job)) emptyOffer(request) else grant(request, maxTasks, allowedMachines, nowUs)
            grantedTasks.merge(request.job, offer.slots.sumOf { it.count }, Int::plus)
            offer
        }
    }

    private fun emptyOffer(request: PlacementRequest) = Offer(request.requestNumber, emptyList())

    /**
     * Returns the machines that have capacity for a task with the smallest resources of all requests.
     *
     * In a backlog nearly all machines are full. If each of dozens of requests checked every machine, the checks would cost more than
     * everything else that a partition does.
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

    /** Holds capacity for as many tasks as fit, up to [maxTasks], on those of the [candidates] with the most free capacity (worst fit). */
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

    /** Returns the slots that a machine has for a request, or null if there are none. */
    private fun findFreeSlots(
        request: PlacementRequest,
        machine: Machine,
    ): HeldSlots? {
        if (request.allowedTypes != null && machine.typeName !in request.allowedTypes) return null
        if (machine.isSpot && !request.allowsSpot) return null
        val hasImage = machine.hasImage(request.requirements.image)
        if (request.isImageRequired && !hasImage) return null
        val limits = limitsOf(machine.typeName) ?: return null
        val freeSlotCount = machine.countFreeSlots(request.requirements.resources, limits.capacity, requirementsOf)
        return if (freeSlotCount > 0) HeldSlots(machine.name, freeSlotCount, freeSlotCount, hasImage) else null
    }

    private companion object {
        const val HOLD_LIFETIME_US = 5 * SECOND
    }
}
