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
    private val events: (OrderEvent) -> Unit,
) {
    /** Machines with starts that are not wanted and may still be executed. */
    private val machinesWithUnwantedStarts = LinkedHashSet<Machine>()
    private var lastClearFencingUs = Long.MIN_VALUE / 2

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
    fun removeDisprovenStarts() = machinesWithUnwantedStarts.toList().forEach(::removeDisprovenStarts)

    /** Removes the unwanted starts of [machine] that are proven not to have been executed. */
    fun removeDisprovenStarts(machine: Machine) {
        if (machine !in machinesWithUnwantedStarts) return
        val disproven =
            machine.attempts.values.filter {
                it.stopRequested && it.provenNotStarted(machine.lastHeartbeatSequence, machine.observedFencingToken)
            }
        disproven.filter { it.isStartIndeterminate }.forEach { events(startDisproven(machine, it)) }
        if (disproven.isNotEmpty()) machine.removeAttempts { it in disproven }
        if (machine.attempts.values.none { it.isUnwantedStart }) machinesWithUnwantedStarts -= machine
        if (disproven.isNotEmpty()) {
            machine.invalidateUsedResources()
            changes.record(machine)
        }
    }

    private fun startDisproven(
        machine: Machine,
        attempt: WorkerAttempt,
    ) = OrderEvent.StartDisproven(machine.name, machine.agentEpoch, attempt.task, attempt.number, machine.observedFencingToken)

    /** Notes as of when the job of a start that no heartbeat has listed is still open, where that is known. */
    fun noteOpenJob(attempt: WorkerAttempt) {
        if (attempt.isListed) return
        jobCompletions.confirmedOpenUs(attempt.job)?.let { attempt.confirmedOpenUs = it }
    }

    /** Gives newer tokens to those of [machines] that need one now. */
    fun raiseTokens(
        machines: Collection<Machine>,
        now: Long,
    ) {
        lacksTokens = false
        raiseToken(machinesWithUnwantedStarts.filter(::mustRefuseStarts), FenceReason.UNWANTED_START)
        if (now - lastClearFencingUs < CLEAR_FENCING_INTERVAL_US) return
        lastClearFencingUs = now
        raiseToken(machines.filter(::mustRefuseRepeats), FenceReason.CLEARS)
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
            events(OrderEvent.FencingTokenRaised(machine.name, machine.agentEpoch, fencingToken, reason))
        }
    }

    private fun mustRefuseStarts(machine: Machine) =
        machine.attempts.values.any {
            it.isUnwantedStart && it.isStartIndeterminate && it.startsInFlight == 0 && it.canExecuteUnder(machine.fencingToken)
        }

    /** Not while an order is in flight, which would be refused as well: what waits to be cleared can wait for another round. */
    private fun mustRefuseRepeats(machine: Machine) =
        machine.canTakeOrders && machine.attempts.values.any { it.needsTokenToClear(machine.fencingToken) }

    /**
     * Whether a heartbeat of [machine] may be answered, which renews its lease. Not where the machine's token lets it execute a start whose
     * job a user may have been told is cancelled, for so long that the lease could outlast the time that a cancellation is given.
     */
    fun mayRenewLease(
        machine: Machine,
        now: Long,
    ): Boolean {
        if (machine !in machinesWithUnwantedStarts) return true
        val overdue = machine.attempts.values.firstOrNull { isOverdue(it, machine, now) } ?: return true
        events(OrderEvent.AnswerWithheld(machine.name, machine.agentEpoch, overdue.job))
        return false
    }

    private fun isOverdue(
        attempt: WorkerAttempt,
        machine: Machine,
        now: Long,
    ): Boolean {
        val mayExecute = attempt.isStartIndeterminate || attempt.startsInFlight > 0
        return attempt.isUnwantedStart && mayExecute && attempt.canExecuteUnder(machine.fencingToken) &&
            now - attempt.confirmedOpenUs > jobCompletions.maxStalenessUs && jobCompletions.hasEnded(attempt.job, attempt.firstSeenUs)
    }

    private companion object {
        /** How often machines get a newer token for the sake of what waits to be cleared. */
        const val CLEAR_FENCING_INTERVAL_US = 60 * SECOND
    }
}
