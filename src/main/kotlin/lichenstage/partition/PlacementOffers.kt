package lichenstage.partition

import lichenstage.cluster.LeaderFrame
import lichenstage.cluster.Offer
import lichenstage.cluster.PlacementRequest
import lichenstage.jobs.JobCompletions
import lichenstage.model.JobRequirements

/** The logic that selects machines for new tasks, offers their capacity to the leader and checks the leader's starts against the holds. */
internal class PlacementOffers(
    private val parameters: PartitionParameters,
    private val machines: MachineRegistry,
    private val holdTable: HoldTable,
    private val requirementsByJob: MutableMap<String, JobRequirements>,
    private val jobCompletions: JobCompletions,
) {
    private var cordonedMachines: Set<String> = emptySet()

    /** Begins the term of a new leader and drops the holds of the previous leader (invariant 8). */
    fun startLeaderTerm() {
        requirementsByJob.clear()
        holdTable.releaseAll()
        cordonedMachines = emptySet()
    }

    /** Stores the job requirements and the cordoned machines of a leader frame. A frame without cordons leaves them unchanged. */
    fun updateFrom(frame: LeaderFrame) {
        requirementsByJob.putAll(frame.requirements)
        frame.cordoned?.let { cordonedMachines = it }
    }

    /** Returns the request that holds capacity on [machine] under [requestNumber], or null if the hold has expired or is unknown. */
    fun findHeldRequest(
        requestNumber: Long,
        machine: Machine,
    ): PlacementRequest? = holdTable.findRequest(requestNumber, machine.name)

    /** Returns why a task of [request] cannot start on [machine], or null if it can. A null [request] means that no hold exists. */
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

    /** Removes the capacity of one task from the hold, because the task starts on [machine]. */
    fun consume(
        requestNumber: Long,
        machine: Machine,
    ) = holdTable.consume(requestNumber, machine)

    /** Releases the remaining capacity of the hold. */
    fun release(requestNumber: Long) = holdTable.release(requestNumber)

    /** Releases the holds that have expired. */
    fun expireHolds(nowUs: Long) = holdTable.expire(nowUs)

    /**
     * Holds capacity for the requests of a leader frame and returns an offer for each.
     *
     * @param avoidedMachines the machines on which a job is granted nothing, by job id
     */
    fun grant(
        requests: List<PlacementRequest>,
        avoidedMachines: Map<String, Set<String>>,
        nowUs: Long,
    ): List<Offer> {
        requests.forEach { requirementsByJob[it.job] = it.requirements }
        val usableMachines =
            machines.all.asSequence().filter {
                isUsable(it) && it.name !in cordonedMachines &&
                    !isLeaseRenewalOverdue(it, nowUs)
            }
        return holdTable.grantAll(requests, usableMachines, avoidedMachines, nowUs) { jobCompletions.hasEnded(it, nowUs) }
    }

    /**
     * Returns whether the machine accepts new tasks. It does not if its token is unconfirmed, its lease has expired, its reclaim is
     * announced, orders do not reach it, or it lists too many attempts that cannot be cleared yet.
     */
    private fun isUsable(machine: Machine) =
        machine.isTokenConfirmed && !machine.isLost && !machine.isUnresponsive && machine.timeUntilReclaimUs == null &&
            machine.attempts.size < MAX_ATTEMPTS_PER_MACHINE

    /** Returns whether heartbeats are overdue for so long that perhaps nothing renews the machine's lease (invariant 12). */
    private fun isLeaseRenewalOverdue(
        machine: Machine,
        nowUs: Long,
    ): Boolean {
        val renewedAtUs = maxOf(machine.lastHeartbeatAtUs, parameters.acquiredAtUs)
        return nowUs - renewedAtUs > parameters.heartbeatIntervalUs * OVERDUE_HALF_INTERVALS / 2
    }

    private companion object {
        /** The limit keeps the size of heartbeats bounded (invariant 6). */
        const val MAX_ATTEMPTS_PER_MACHINE = 150

        /** The limit for overdue heartbeats, in halves of the heartbeat interval: 2.5 intervals. */
        const val OVERDUE_HALF_INTERVALS = 5
    }
}
