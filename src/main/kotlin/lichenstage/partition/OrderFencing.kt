package lichenstage.partition

import lichenstage.common.SECOND
import lichenstage.jobs.JobCompletions

/**
 * Prevents the late execution of direct orders whose outcome is indeterminate (invariant 6). The partition drops an unwanted start only on
 * proof that the start was not executed, never because time has passed.
 *
 * A worker executes an order as long as the order's fencing token and agent epoch match, possibly minutes late. If an unwanted start may
 * still be executed, its machine gets a newer fencing token, which every later reply and order to the machine carries. Then either the
 * machine shows the newer token and refuses everything sent before, or its lease is not renewed and its agent epoch ends. If no newer
 * token is available, replies to the machine's heartbeats stop early enough for its lease to expire within the time limit for
 * cancellations.
 */
internal class OrderFencing(
    private val fencingTokens: FencingTokens,
    private val changeLog: ChangeLog,
    private val jobCompletions: JobCompletions,
    private val reportEvent: (OrderEvent) -> Unit,
) {
    /** The machines with unwanted starts that may still be executed. */
    private val machinesWithUnwantedStarts = LinkedHashSet<Machine>()
    private var lastClearFencingAtUs = Long.MIN_VALUE / 2
    private var lastClearFencingOfAllAtUs = Long.MIN_VALUE / 2

    /** Whether the last call of [raiseTokens] found no token for a machine that needs a newer one. */
    var lacksTokens = false
        private set

    /** Registers that [machine] has an unwanted start: a start whose task must stop and that no heartbeat has listed. */
    fun addUnwantedStart(machine: Machine) {
        machinesWithUnwantedStarts += machine
    }

    /** Forgets a machine that the partition has removed. */
    fun remove(machine: Machine) {
        machinesWithUnwantedStarts -= machine
    }

    /** Removes the unwanted starts, on all machines, that are proven not to have been executed. */
    fun removeUnexecutedStarts() = machinesWithUnwantedStarts.toList().forEach(::removeUnexecutedStarts)

    /** Removes the unwanted starts on [machine] that are proven not to have been executed. */
    fun removeUnexecutedStarts(machine: Machine) {
        if (machine !in machinesWithUnwantedStarts) return
        val unexecutedStarts =
            machine.attempts.values.filter {
                it.isStopRequested && it.isProvenNotExecuted(machine.lastHeartbeatSequence, machine.observedFencingToken)
            }
        unexecutedStarts.filter { it.isStartIndeterminate }.forEach { reportEvent(startProvenNotExecuted(machine, it)) }
        if (unexecutedStarts.isNotEmpty()) machine.removeAttempts { it in unexecutedStarts }
        if (machine.attempts.values.none { it.isUnwantedStart }) machinesWithUnwantedStarts -= machine
        if (unexecutedStarts.isNotEmpty()) {
            machine.invalidateUsedResources()
            changeLog.record(machine)
        }
    }

    private fun startProvenNotExecuted(
        machine: Machine,
        attempt: WorkerAttempt,
    ) = OrderEvent.StartProvenNotExecuted(machine.name, machine.agentEpoch, attempt.taskId, attempt.number, machine.observedFencingToken)

    /** Updates the time up to which the job of [attempt] is confirmed open. Only attempts that no heartbeat has listed need this time. */
    fun updateJobConfirmedOpenTime(attempt: WorkerAttempt) {
        if (attempt.isListed) return
        jobCompletions.confirmedOpenAtUs(attempt.job)?.let { attempt.jobConfirmedOpenAtUs = it }
    }

    /** Assigns a newer fencing token to each machine that needs one now: first because of unwanted starts, then because of clears. */
    fun raiseTokens(
        machines: Collection<Machine>,
        nowUs: Long,
    ) {
        lacksTokens = false
        raiseToken(machinesWithUnwantedStarts.filter(::needsTokenForUnwantedStarts), FenceReason.UNWANTED_START)
        val sinceLastUs = nowUs - lastClearFencingAtUs
        if (sinceLastUs < CROWDED_CLEAR_FENCING_INTERVAL_US) return
        val isRoundForAll = nowUs - lastClearFencingOfAllAtUs >= CLEAR_FENCING_INTERVAL_US
        lastClearFencingAtUs = nowUs
        if (isRoundForAll) lastClearFencingOfAllAtUs = nowUs
        val candidates = if (isRoundForAll) machines else machines.filter { it.attempts.size >= CROWDED_MACHINE_ATTEMPTS }
        raiseToken(candidates.filter(::needsTokenForClears), FenceReason.CLEARS)
    }

    /** Assigns one newer token, shared by all of [machines], or sets [lacksTokens] if none is left. */
    private fun raiseToken(
        machines: List<Machine>,
        reason: FenceReason,
    ) {
        if (machines.isEmpty()) return
        val fencingToken = fencingTokens.next()
        if (fencingToken == null) {
            lacksTokens = true
            return
        }
        for (machine in machines) {
            machine.fencingToken = fencingToken
            reportEvent(OrderEvent.FencingTokenRaised(machine.name, machine.agentEpoch, fencingToken, reason))
        }
    }

    /** Returns whether [machine] needs a newer token so that it refuses the orders that carry unwanted starts. */
    private fun needsTokenForUnwantedStarts(machine: Machine) =
        machine.attempts.values.any {
            it.isUnwantedStart && it.isStartIndeterminate && it.startOrdersInFlight == 0 && it.isStartExecutableUnder(machine.fencingToken)
        }

    /**
     * Returns whether [machine] needs a newer token before ended attempts can be cleared. Returns false while an order is in flight,
     * because the machine would refuse that order too. The clears can wait for the next round.
     */
    private fun needsTokenForClears(machine: Machine) =
        machine.canTakeOrders && machine.attempts.values.any { it.needsNewerTokenToClear(machine.fencingToken) }

    /**
     * Returns whether the partition may reply to a heartbeat of [machine]. The reply renews the machine's lease. Returns false if the
     * machine may still execute a start of an ended job, and a user may have been told of the job's end so long ago that a renewed lease
     * could outlast the time limit for cancellations.
     */
    fun mayRenewLease(
        machine: Machine,
        nowUs: Long,
    ): Boolean {
        if (machine !in machinesWithUnwantedStarts) return true
        val blockingStart = machine.attempts.values.firstOrNull { preventsLeaseRenewal(it, machine, nowUs) } ?: return true
        reportEvent(OrderEvent.ReplyWithheld(machine.name, machine.agentEpoch, blockingStart.job))
        return false
    }

    private fun preventsLeaseRenewal(
        attempt: WorkerAttempt,
        machine: Machine,
        nowUs: Long,
    ): Boolean {
        val canBeExecuted = attempt.isStartIndeterminate || attempt.startOrdersInFlight > 0
        return attempt.isUnwantedStart && canBeExecuted && attempt.isStartExecutableUnder(machine.fencingToken) &&
            nowUs - attempt.jobConfirmedOpenAtUs > jobCompletions.maxStalenessUs &&
            jobCompletions.hasEnded(attempt.job, attempt.firstSeenAtUs)
    }

    private companion object {
        /** The shortest time between two rounds of newer tokens for clears. */
        const val CLEAR_FENCING_INTERVAL_US = 60 * SECOND

        /** The same for machines that list at least [CROWDED_MACHINE_ATTEMPTS] attempts. Machines with twice as many get no new tasks. */
        const val CROWDED_CLEAR_FENCING_INTERVAL_US = 10 * SECOND
        const val CROWDED_MACHINE_ATTEMPTS = 75
    }
}
