package lichenstage.partition

import lichenstage.model.JobRequirements

/** Applies the content of heartbeats to the partition's view of its machines, as far as it may be believed (invariant 3). */
internal class HeartbeatProcessor(
    private val fencingTokens: FencingTokens,
    private val changes: ChangeLog,
    private val events: (OrderEvent) -> Unit,
    private val requirementsOf: (String) -> JobRequirements?,
) {
    /** Applies [heartbeat]; false where it is an older one or a late copy, of which nothing is believed. */
    fun apply(
        machine: Machine,
        heartbeat: Heartbeat,
        now: Long,
    ): Boolean {
        if (!isNewer(machine, heartbeat)) return false
        machine.lastMessageUs = now
        var changed = machine.lost || machine.address != heartbeat.address || (machine.recallUs == null) != (heartbeat.recallUs == null)
        if (heartbeat.agentEpoch > machine.agentEpoch) {
            startAgentEpoch(machine, heartbeat.agentEpoch, now)
            changed = true
        }
        machine.sequence = heartbeat.sequence
        machine.lost = false
        machine.address = heartbeat.address
        machine.recallUs = heartbeat.recallUs
        if (fencingTokens.isIssuedByOwner(heartbeat.fencingToken)) {
            if (!machine.tokenConfirmed) changed = true
            machine.observedFencingToken = maxOf(machine.observedFencingToken, heartbeat.fencingToken)
            if (applyTasks(machine, heartbeat, now)) changed = true
        }
        if (changed) changes.record(machine)
        return true
    }

    private fun isNewer(
        machine: Machine,
        heartbeat: Heartbeat,
    ): Boolean {
        if (heartbeat.agentEpoch != machine.agentEpoch) return heartbeat.agentEpoch > machine.agentEpoch
        // A heartbeat of an epoch whose lease has expired is a late one: the tasks that it lists are gone.
        return heartbeat.sequence > machine.sequence && !machine.lost
    }

    /** The worker has killed and forgotten all tasks of the earlier epoch, and refuses orders that carry it. */
    private fun startAgentEpoch(
        machine: Machine,
        agentEpoch: Long,
        now: Long,
    ) {
        machine.startAgentEpoch(agentEpoch)
        machine.agentEpochFirstSeenUs = now
        // The lease expired although its heartbeats were answered, so answers may not reach it: it has to answer an order first.
        machine.unresponsive = true
    }

    /** Applies the task list of a worker that has shown this owner's token; true where that changes something. */
    private fun applyTasks(
        machine: Machine,
        heartbeat: Heartbeat,
        now: Long,
    ): Boolean {
        var changed = false
        for (report in heartbeat.tasks) if (applyTask(machine, report, heartbeat.sequence, now)) changed = true
        if (machine.removeAttempts { it.isListed && it.lastListedSequence != heartbeat.sequence }) changed = true
        if (changed) machine.invalidateUsage()
        return changed
    }

    private fun applyTask(
        machine: Machine,
        report: TaskReport,
        sequence: Long,
        now: Long,
    ): Boolean {
        val known = machine.attempts.get(report.attempt)
        val attempt = known ?: addAttempt(machine, report, now)
        attempt.lastListedSequence = sequence
        if (attempt.phase == report.phase && attempt.cause == report.cause) return known == null
        // The worker has executed a start: commands reach it.
        if (!attempt.isListed) machine.unresponsive = false
        if (attempt.isUnwantedStart) events(OrderEvent.UnwantedStartListed(machine.name, machine.agentEpoch, attempt.task, attempt.number))
        attempt.phase = report.phase
        attempt.cause = report.cause
        attempt.version = changes.nextVersion
        return true
    }

    private fun addAttempt(
        machine: Machine,
        report: TaskReport,
        now: Long,
    ): WorkerAttempt {
        val attempt = WorkerAttempt(report.task, report.attempt, now)
        attempt.version = changes.nextVersion
        machine.attempts.put(report.attempt, attempt)
        requirementsOf(attempt.job)?.let(machine::recordImageUse)
        return attempt
    }
}
