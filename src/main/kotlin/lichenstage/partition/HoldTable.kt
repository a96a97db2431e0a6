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
    private val machineOf: (String) -> Machine?,
) {
    /** The tasks for which [request] holds capacity, by machine. */
    private class Hold(
        val request: PlacementRequest,
        val grantedUs: Long,
        val counts: MutableMap<String, Int>,
    )

    private val holds = Long2ObjectHashMap<Hold>()

    /** The request that holds capacity on [machine] under [stamp]; null where nothing is held any more. */
    fun find(
        stamp: Long,
        machine: String,
    ): PlacementRequest? = holds.get(stamp)?.takeIf { (it.counts[machine] ?: 0) > 0 }?.request

    /** Uses the capacity of one task. */
    fun consume(
        stamp: Long,
        machine: Machine,
    ) {
        val hold = holds.get(stamp) ?: return
        hold.counts.merge(machine.name, -1, Int::plus)
        machine.hold(hold.request.requirements.resources, -1)
    }

    /** Releases what is still held under [stamp]. */
    fun release(stamp: Long) {
        val hold = holds.remove(stamp) ?: return
        for ((name, count) in hold.counts) if (count > 0) machineOf(name)?.hold(hold.request.requirements.resources, -count)
    }

    fun releaseAll() = holds.keys.toList().forEach(::release)

    /** Releases the holds that have expired. */
    fun expire(now: Long) {
        if (holds.isEmpty()) return
        holds.values
            .filter { now - it.grantedUs > HOLD_LIFETIME_US }
            .map { it.request.requestNumber }
            .forEach(::release)
    }

    /**
     * An offer for each request, in the order of their stamps. Where a job has several requests, the later ones are for what the earlier
     * ones were not granted.
     *
     * @param usable the machines that take tasks
     * @param isJobOver whether a job is known to be over, which its leader may not know yet; it is granted nothing
     */
    fun grantAll(
        requests: List<PlacementRequest>,
        usable: Sequence<Machine>,
        now: Long,
        isJobOver: (String) -> Boolean,
    ): List<Offer> {
        if (requests.isEmpty()) return emptyList()
        val granted = HashMap<String, Int>()
        val candidates = candidates(requests, usable)
        return requests.sortedBy { it.requestNumber }.map { request ->
            val maxTasks = request.count - (granted[request.job] ?: 0)
            val offer = if (isJobOver(request.job)) emptyOffer(request) else grant(request, maxTasks, candidates, now)
            granted.merge(request.job, offer.slots.sumOf { it.count }, Int::plus)
            offer
        }
    }

    private fun emptyOffer(request: PlacementRequest) = Offer(request.requestNumber, emptyList())

    /**
     * The machines with capacity for the smallest of the requests. In a backlog nearly all are full, and dozens of requests that each look
     * at every machine would cost more than everything else that a partition does.
     */
    private fun candidates(
        requests: List<PlacementRequest>,
        usable: Sequence<Machine>,
    ): List<Machine> {
        val shapes = requests.map { it.requirements.resources }
        val smallest = Resources(shapes.minOf { it.cores }, shapes.minOf { it.gpus }, shapes.minOf { it.memGb })
        return usable
            .filter { machine ->
                limitsOf(machine.typeName)?.let { machine.freeSlots(smallest, it.capacity, requirementsOf) > 0 } == true
            }.toList()
    }

    /** Holds capacity for as many tasks of the request as fit, up to [maxTasks], on the roomiest of the [candidates] (worst fit). */
    private fun grant(
        request: PlacementRequest,
        maxTasks: Int,
        candidates: List<Machine>,
        now: Long,
    ): Offer {
        if (request.zone != null && request.zone != zone) return emptyOffer(request)
        val held = PlacementScore.selectRoomiest(candidates.mapNotNull { slots(request, it) }, maxTasks)
        if (held.isNotEmpty()) {
            holds[request.requestNumber] = Hold(request, now, held.associateTo(HashMap()) { it.machine to it.count })
            held.forEach { machineOf(it.machine)!!.hold(request.requirements.resources, it.count) }
        }
        return Offer(request.requestNumber, held)
    }

    /** What a machine has for a request; null where it has nothing. */
    private fun slots(
        request: PlacementRequest,
        machine: Machine,
    ): HeldSlots? {
        if (request.allowedTypes != null && machine.typeName !in request.allowedTypes) return null
        if (machine.spot && !request.isSpot) return null
        val hasImage = machine.hasImage(request.requirements.image)
        if (request.isImageRequired && !hasImage) return null
        val limits = limitsOf(machine.typeName) ?: return null
        val tasks = machine.freeSlots(request.requirements.resources, limits.capacity, requirementsOf)
        return if (tasks > 0) HeldSlots(machine.name, tasks, tasks, hasImage) else null
    }

    private companion object {
        const val HOLD_LIFETIME_US = 5 * SECOND
    }
}
