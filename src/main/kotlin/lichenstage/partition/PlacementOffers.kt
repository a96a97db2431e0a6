package lichenstage.partition

import lichenstage.cluster.Offer
import lichenstage.cluster.PlacementFrame
import lichenstage.cluster.PlacementRequest
import lichenstage.jobs.JobCompletions
import lichenstage.model.JobRequirements

/** Decides which machines take tasks, offers their capacity for the leader's requests, and checks its starts against the holds. */
internal class PlacementOffers(
    private val parameters: PartitionParameters,
    private val machines: MachineRegistry,
    private val holds: HoldTable,
    private val requirements: MutableMap<String, JobRequirements>,
    private val jobCompletions: JobCompletions,
) {
    private var cordoned: Set<String> = emptySet()

    /** A new leader: the holds of the one before are dropped (invariant 8). */
    fun startLeaderTerm() {
        requirements.clear()
        holds.releaseAll()
        cordoned = emptySet()
    }

    /** Takes over the jobs' requirements and the cordons of the leader's frame. */
    fun update(frame: PlacementFrame) {
        requirements.putAll(frame.requirements)
        frame.cordoned?.let { cordoned = it }
    }

    /** The request for which capacity is held on [machine] under [stamp]; null where the hold has expired or is not known. */
    fun heldFor(
        stamp: Long,
        machine: Machine,
    ): PlacementRequest? = holds.find(stamp, machine.name)

    /** Why a task of [request] can't be started on [machine], or null where it can. A null request has no hold. */
    fun refusal(
        request: PlacementRequest?,
        machine: Machine,
        now: Long,
    ): StartRefusal? =
        when {
            request == null -> StartRefusal.HOLD_EXPIRED
            jobCompletions.hasEnded(request.job, now) -> StartRefusal.JOB_ENDED
            !isUsable(machine) -> StartRefusal.MACHINE_UNUSABLE
            else -> null
        }

    /** Uses the held capacity of one task. */
    fun consume(
        stamp: Long,
        machine: Machine,
    ) = holds.consume(stamp, machine)

    /** Releases what is still held under [stamp]. */
    fun release(stamp: Long) = holds.release(stamp)

    /** Releases the holds that have expired. */
    fun expireHolds(now: Long) = holds.expire(now)

    /** Holds capacity for the requests of the leader's frame. */
    fun grant(
        requests: List<PlacementRequest>,
        now: Long,
    ): List<Offer> {
        requests.forEach { requirements[it.job] = it.requirements }
        val usable = machines.all.asSequence().filter { isUsable(it) && it.name !in cordoned && !isLeaseUnrenewed(it, now) }
        return holds.grantAll(requests, usable, now) { jobCompletions.hasEnded(it, now) }
    }

    /** Not where its token is unconfirmed, it goes away, orders don't reach it, or it lists too much that can't be cleared yet. */
    private fun isUsable(machine: Machine) =
        machine.tokenConfirmed && !machine.lost && !machine.unresponsive && machine.recallUs == null &&
            machine.attempts.size < MAX_ATTEMPTS_PER_MACHINE

    /** Its heartbeats are overdue for so long that nothing may be renewing its lease (invariant 12). */
    private fun isLeaseUnrenewed(
        machine: Machine,
        now: Long,
    ): Boolean {
        val sinceUs = maxOf(machine.lastHeartbeatUs, parameters.acquiredUs)
        return now - sinceUs > parameters.heartbeatIntervalUs * OVERDUE_HALF_INTERVALS / 2
    }

    private companion object {
        /** Keeps heartbeats bounded (invariant 6). */
        const val MAX_ATTEMPTS_PER_MACHINE = 150

        /** In halves of the heartbeat interval: 2.5 intervals. */
        const val OVERDUE_HALF_INTERVALS = 5
    }
}
