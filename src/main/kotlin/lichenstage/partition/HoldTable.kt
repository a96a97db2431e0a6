package lichenstage.partition

import lichenstage.cluster.HeldSlots
import lichenstage.cluster.Offer
import lichenstage.cluster.PlacementRequest
import lichenstage.cluster.PlacementScore
import lichenstage.common.SECOND
import lichenstage.model.JobRequirements
import lichenstage.model.MachineLimits
import lichenstage.model.Shape
import org.agrona.collections.Long2ObjectHashMap

/** Room that is held for requests, granted in the order of their stamps, until it is used, released or has lapsed. */
internal class HoldTable(
    private val zone: String,
    private val limitsOf: (String) -> MachineLimits?,
    private val requirementsOf: (String) -> JobRequirements?,
    private val machineOf: (String) -> Machine?,
) {
    private class Hold(
        val request: PlacementRequest,
        val grantedUs: Long,
        val counts: MutableMap<String, Int>,
    )

    private val holds = Long2ObjectHashMap<Hold>()

    /** The request that holds room on the machine under this stamp; null where nothing is held any more. */
    fun find(
        stamp: Long,
        machine: String,
    ): PlacementRequest? = holds.get(stamp)?.takeIf { (it.counts[machine] ?: 0) > 0 }?.request

    /** One task takes its room. */
    fun use(
        stamp: Long,
        machine: Machine,
    ) {
        val hold = holds.get(stamp) ?: return
        hold.counts.merge(machine.name, -1, Int::plus)
        machine.hold(hold.request.requirements.shape, -1)
    }

    fun release(stamp: Long) {
        val hold = holds.remove(stamp) ?: return
        for ((name, count) in hold.counts) if (count > 0) machineOf(name)?.hold(hold.request.requirements.shape, -count)
    }

    fun releaseAll() = holds.keys.toList().forEach(::release)

    fun lapse(now: Long) {
        if (holds.isEmpty()) return
        holds.values
            .filter { now - it.grantedUs > HOLD_LIFETIME_US }
            .map { it.request.stamp }
            .forEach(::release)
    }

    /**
     * An offer for each request, in the order of the stamps. Of a job that asks twice, the later request is for what the first has
     * not got.
     */
    fun grantAll(
        requests: List<PlacementRequest>,
        usable: Sequence<Machine>,
        now: Long,
        over: (String) -> Boolean,
    ): List<Offer> {
        if (requests.isEmpty()) return emptyList()
        val got = HashMap<String, Int>()
        val open = open(requests, usable)
        return requests.sortedBy { it.stamp }.map { request ->
            val most = request.count - (got[request.job] ?: 0)
            // Not for what its leader may not know yet to be over.
            val offer = if (over(request.job)) Offer(request.stamp, emptyList()) else grant(request, most, open, now)
            got.merge(request.job, offer.held.sumOf { it.count }, Int::plus)
            offer
        }
    }

    /**
     * Machines with room for the smallest of the requests. Where there is a backlog nearly all are full, and dozens of requests that
     * each look at every machine would cost more than all else that a partition does.
     */
    private fun open(
        requests: List<PlacementRequest>,
        usable: Sequence<Machine>,
    ): List<Machine> {
        val shapes = requests.map { it.requirements.shape }
        val least = Shape(shapes.minOf { it.cores }, shapes.minOf { it.cards }, shapes.minOf { it.memGb })
        return usable
            .filter { machine ->
                limitsOf(machine.typeName)?.let { machine.room(least, it.capacity, requirementsOf) > 0 } == true
            }.toList()
    }

    /** Holds room for as many tasks of the request as fit, up to [most], on the roomiest of the [open] machines. */
    private fun grant(
        request: PlacementRequest,
        most: Int,
        open: List<Machine>,
        now: Long,
    ): Offer {
        if (request.zone != null && request.zone != zone) return Offer(request.stamp, emptyList())
        val held = PlacementScore.take(open.mapNotNull { slots(request, it) }, most)
        if (held.isNotEmpty()) {
            holds[request.stamp] = Hold(request, now, held.associateTo(HashMap()) { it.machine to it.count })
            held.forEach { machineOf(it.machine)!!.hold(request.requirements.shape, it.count) }
        }
        return Offer(request.stamp, held)
    }

    /** What a machine has for a request, or null. */
    private fun slots(
        request: PlacementRequest,
        machine: Machine,
    ): HeldSlots? {
        if (request.allowedTypes != null && machine.typeName !in request.allowedTypes) return null
        if (machine.spot && !request.spot) return null
        val hasImage = machine.hasImage(request.requirements.image)
        if (request.imageOnly && !hasImage) return null
        val limits = limitsOf(machine.typeName) ?: return null
        val tasks = machine.room(request.requirements.shape, limits.capacity, requirementsOf)
        return if (tasks > 0) HeldSlots(machine.name, tasks, tasks, hasImage) else null
    }

    private companion object {
        const val HOLD_LIFETIME_US = 5 * SECOND
    }
}
