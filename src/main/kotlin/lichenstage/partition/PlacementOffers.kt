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
    private val holdTable: HoldTable,
    private val requirementsByJob: MutableMap<String, JobRequirements>,
    private val jobCompletions: JobCompletions,
) {
    private var cordonedMachines: Set<String> = emptySet()

    /** A new leader: the holds of the one before are dropped (invariant 8). */
    fun startLeaderTerm() {
        requirementsByJob.clear()
        holdTable.releaseAll()
        cordonedMachines = emptySet()
    }

    /** Takes over the jobs' requirements and the cordons of the leader's frame. */
    fun updateFrom(frame: PlacementFrame) {
        requirementsByJob.putAll(frame.requirements)
        frame.cordoned?.let { cordonedMachines = it }
    }

    /** The request for which capacity is held on [machine] under [requestNumber]; null where the hold has expired or is not known. */
    fun findHeldRequest(
        requestNumber: Long,
        machine: Machine,
    ): PlacementRequest? = holdTable.findRequest(requestNumber, machine.name)

    /** Why a task of [request] can't be started on [machine], or null where it can. A null request has no hold. */
    fun findRefusal(
        request: PlacementRequest?,
        machine: Machine,
        nowUs: Long,
    ): StartRefusal? =
        when {
            request == null -> StartRefusal.HOLD_EXPIRED
            jobCompletions.hasEnded(request.job, nowUs) -> StartRefusal.JOB_ENDED
            !isUsable(machine) -> StartRefusal.MACHINE_UNUSABLE
            else -> null
        }

    /** Uses the held capacity of one task. */
    fun consume(
        requestNumber: Long,
        machine: Machine,
    ) = holdTable.consume(requestNumber, machine)

    /** Releases what is still held under [requestNumber]. */
    fun release(requestNumber: Long) = holdTable.release(requestNumber)

    /** Releases the holds that have expired. */
    fun expireHolds(nowUs: Long) = holdTable.expire(nowUs)

    /** Holds capacity for the requests of the leader's frame. */
    fun grant(
        requests: List<PlacementRequest>,
        nowUs: Long,
    ): List<Offer> {
        requests.forEach { requirementsByJob[it.job] = it.requirements }
        val usableMachines =
            machines.all.asSequence().filter {
                isUsable(it) && it.name !in cordonedMachines &&
                    !isLeaseRenewalOverdue(it, nowUs)
            }
        return holdTable.grantAll(requests, usableMachines, nowUs) { jobCompletions.hasEnded(it, nowUs) }
    }

    /** Not where its token is unconfirmed, it goes away, orders don't reach it, or it lists too much that can't be cleared yet. */
    private fun isUsable(machine: Machine) =
        machine.isTokenConfirmed && !machine.isLost && !machine.isUnresponsive && machine.recallUs == null &&
            machine.attempts.size < MAX_ATTEMPTS_PER_MACHINE

    /** Its heartbeats are overdue for so long that nothing may be renewing its lease (invariant 12). */
    private fun isLeaseRenewalOverdue(
        machine: Machine,
        nowUs: Long,
    ): Boolean {
        val renewedAtUs = maxOf(machine.lastHeartbeatAtUs, parameters.acquiredAtUs)
        return nowUs - renewedAtUs > parameters.heartbeatIntervalUs * OVERDUE_HALF_INTERVALS / 2
    }

    private companion object {
        /** Keeps heartbeats bounded (invariant 6). */
        const val MAX_ATTEMPTS_PER_MACHINE = 150

        /** In halves of the heartbeat interval: 2.5 intervals. */
        const val OVERDUE_HALF_INTERVALS = 5
    }
}
