package lichenstage.partition

import lichenstage.common.SECOND
import lichenstage.jobs.JobCompletions

/**
 * Fences off direct orders whose outcome is indeterminate (invariant 6): by a proof, never because time has passed.
 *
 * A worker executes an order for as long as its fencing token and agent epoch match, perhaps minutes late. Where a start that is not
 * wanted may still be executed, its machine is given a newer token. Every answer and order to it carries that one from then on, so the
 * machine either shows it and refuses everything sent before, or its lease is not renewed and its agent epoch ends. Where no token is at
 * hand, answers to that machine end early enough for its lease to expire before a cancellation has had its time.
 */
internal class OrderFencing(
    private val fencingTokens: FencingTokens,
    private val changes: ChangeLog,
    private val jobCompletions: JobCompletions,
    private val reportEvent: (OrderEvent) -> Unit,
) {
    /** Machines with starts that are not wanted and may still be executed. */
    private val machinesWithUnwantedStarts = LinkedHashSet<Machine>()
    private var lastClearFencingAtUs = Long.MIN_VALUE / 2

    /** A newer token is needed now, and none is left. */
    var lacksTokens = false
        private set

    /** A start on [machine] is no longer wanted, and no heartbeat has listed it. */
    fun addUnwantedStart(machine: Machine) {
        machinesWithUnwantedStarts += machine
    }

    /** Drops a machine that the partition has removed. */
    fun remove(machine: Machine) {
        machinesWithUnwantedStarts -= machine
    }

    /** Removes the unwanted starts of all machines that are proven not to have been executed. */
    fun removeUnexecutedStarts() = machinesWithUnwantedStarts.toList().forEach(::removeUnexecutedStarts)

    /** Removes the unwanted starts of [machine] that are proven not to have been executed. */
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
            changes.record(machine)
        }
    }

    private fun startProvenNotExecuted(
        machine: Machine,
        attempt: WorkerAttempt,
    ) = OrderEvent.StartProvenNotExecuted(machine.name, machine.agentEpoch, attempt.task, attempt.number, machine.observedFencingToken)

    /** Notes as of when the job of a start that no heartbeat has listed is still open, where that is known. */
    fun updateJobConfirmedOpenTime(attempt: WorkerAttempt) {
        if (attempt.isListed) return
        jobCompletions.confirmedOpenUs(attempt.job)?.let { attempt.jobOpenAtUs = it }
    }

    /** Gives newer tokens to those of [machines] that need one now. */
    fun raiseTokens(
        machines: Collection<Machine>,
        nowUs: Long,
    ) {
        lacksTokens = false
        raiseToken(machinesWithUnwantedStarts.filter(::mustRefuseUnwantedStarts), FenceReason.UNWANTED_START)
        if (nowUs - lastClearFencingAtUs < CLEAR_FENCING_INTERVAL_US) return
        lastClearFencingAtUs = nowUs
        raiseToken(machines.filter(::mustRefuseStartsBeforeClear), FenceReason.CLEARS)
    }

    /** One token serves all of [machines]. */
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

    private fun mustRefuseUnwantedStarts(machine: Machine) =
        machine.attempts.values.any {
            it.isUnwantedStart && it.isStartIndeterminate && it.startOrdersInFlight == 0 && it.isStartExecutableUnder(machine.fencingToken)
        }

    /** Not while an order is in flight, which would be refused as well: what waits to be cleared can wait for another round. */
    private fun mustRefuseStartsBeforeClear(machine: Machine) =
        machine.canTakeOrders && machine.attempts.values.any { it.needsNewerTokenToClear(machine.fencingToken) }

    /**
     * Whether a heartbeat of [machine] may be answered, which renews its lease. Not where the machine's token lets it execute a start whose
     * job a user may have been told is cancelled, for so long that the lease could outlast the time that a cancellation is given.
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
            nowUs - attempt.jobOpenAtUs > jobCompletions.maxStalenessUs && jobCompletions.hasEnded(attempt.job, attempt.firstSeenAtUs)
    }

    private companion object {
        /** How often machines get a newer token for the sake of what waits to be cleared. */
        const val CLEAR_FENCING_INTERVAL_US = 60 * SECOND
    }
}
