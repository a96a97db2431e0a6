package lichenstage.partition

import lichenstage.common.SECOND
import lichenstage.jobs.JobEnds

/**
 * Ends the life of direct orders that got no answer (invariant 6): by a proof, never by a span of time.
 *
 * An order is carried out for as long as the worker's token and session match, perhaps minutes late. Where a start that is not wanted
 * may still land, its machine is given a newer token: every answer and order to it carries that one from then on, so the machine either
 * shows it and refuses all that was sent before, or is not renewed and ends its session. Where no token is at hand, answers to that
 * machine end early enough for its lease to run out before a cancellation has had its time.
 */
internal class OrderFencing(
    private val fencingTokens: FencingTokens,
    private val jobEnds: JobEnds,
    private val events: (OrderEvent) -> Unit,
) {
    /** Machines with starts that are not wanted and may still land. */
    private val unwanted = LinkedHashSet<Machine>()
    private var clearsUs = Long.MIN_VALUE / 2

    /** A newer token is wanted now, and none is left. */
    var lacksTokens = false
        private set

    /** A start on the machine is not wanted any more, and no list has shown it. */
    fun addUnwantedStart(machine: Machine) {
        unwanted += machine
    }

    /** Machines with starts that are not wanted and may still land. */
    fun unwanted(): List<Machine> = unwanted.toList()

    fun forget(machine: Machine) {
        unwanted -= machine
    }

    /** Forgets starts that are no longer wanted and that never happened. True where there was one. */
    fun removeDisprovenStarts(machine: Machine): Boolean {
        if (machine !in unwanted) return false
        val over =
            machine.attempts.values.filter {
                it.stopRequested &&
                    it.provenNotStarted(machine.heartbeatSequence, machine.observedFencingToken)
            }
        over.filter { it.isStartIndeterminate }.forEach { events(provenNotStarted(machine, it)) }
        if (over.isNotEmpty()) machine.drop { it in over }
        if (machine.attempts.values.none { it.isUnwantedStart }) unwanted -= machine
        return over.isNotEmpty()
    }

    private fun provenNotStarted(
        machine: Machine,
        attempt: WorkerAttempt,
    ) = OrderEvent.StartDisproven(machine.name, machine.agentEpoch, attempt.task, attempt.number, machine.observedFencingToken)

    /** Notes that the job of a start that no list has shown is still open, where that is known. */
    fun noteOpenJob(attempt: WorkerAttempt) {
        if (attempt.isListed) return
        jobEnds.openAsOfUs(attempt.job)?.let { attempt.openAsOfUs = it }
    }

    /** Gives newer tokens to those of [machines] that need one now. */
    fun raise(
        machines: Collection<Machine>,
        now: Long,
    ) {
        lacksTokens = false
        raise(unwanted.filter(::mustRefuseStarts), FenceReason.UNWANTED_START)
        if (now - clearsUs < CLEAR_FENCING_INTERVAL_US) return
        clearsUs = now
        raise(machines.filter(::mustRefuseRepeats), FenceReason.CLEARS)
    }

    /** One token for all of them. */
    private fun raise(
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
            it.isUnwantedStart && it.isStartIndeterminate && it.startsInFlight == 0 &&
                it.canExecuteUnder(machine.fencingToken)
        }

    /** Not while an order is under way, which would be refused as well: what waits to be cleared can wait for another round. */
    private fun mustRefuseRepeats(machine: Machine) =
        machine.acceptsOrders && machine.attempts.values.any { it.needsTokenToClear(machine.fencingToken) }

    /**
     * An answer may renew the machine's lease. Not where it would do so under a token under which a start may land of a job that a user
     * may have been told is cancelled for so long that the lease could outlast what a cancellation is given.
     */
    fun mayRenewLease(
        machine: Machine,
        now: Long,
    ): Boolean {
        if (machine !in unwanted) return true
        val overdue = machine.attempts.values.firstOrNull { isOverdue(it, machine, now) } ?: return true
        events(OrderEvent.AnswerWithheld(machine.name, machine.agentEpoch, overdue.job))
        return false
    }

    private fun isOverdue(
        attempt: WorkerAttempt,
        machine: Machine,
        now: Long,
    ) = attempt.isUnwantedStart && (attempt.isStartIndeterminate || attempt.startsInFlight > 0) &&
        attempt.canExecuteUnder(machine.fencingToken) &&
        now - attempt.openAsOfUs > jobEnds.answerBoundUs && jobEnds.over(attempt.job, attempt.firstSeenUs)

    private companion object {
        /** How often machines get a newer token for the sake of what waits to be cleared. */
        const val CLEAR_FENCING_INTERVAL_US = 60 * SECOND
    }
}
