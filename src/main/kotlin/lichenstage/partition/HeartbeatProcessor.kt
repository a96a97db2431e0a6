package lichenstage.partition

import lichenstage.model.JobRequirements

/** Takes over what workers' reports say, as far as it may be believed (invariant 3). */
internal class HeartbeatProcessor(
    private val fencingTokens: FencingTokens,
    private val changes: ChangeLog,
    private val events: (OrderEvent) -> Unit,
    private val requirementsOf: (String) -> JobRequirements?,
) {
    /** False where the report is no news: an older one, or a late copy, of which nothing is believed. */
    fun apply(
        machine: Machine,
        heartbeat: Heartbeat,
        now: Long,
    ): Boolean {
        if (!isNews(machine, heartbeat)) return false
        machine.lastMessageUs = now
        var changed = machine.lost || machine.address != heartbeat.address || (machine.recallUs == null) != (heartbeat.recallUs == null)
        if (heartbeat.agentEpoch > machine.agentEpoch) {
            newAgentEpoch(machine, heartbeat.agentEpoch, now)
            changed = true
        }
        machine.sequence = heartbeat.sequence
        machine.lost = false
        machine.address = heartbeat.address
        machine.recallUs = heartbeat.recallUs
        if (fencingTokens.isOwnersToken(heartbeat.fencingToken)) {
            if (!machine.tokenConfirmed) changed = true
            machine.observedFencingToken = maxOf(machine.observedFencingToken, heartbeat.fencingToken)
            if (takeTasks(machine, heartbeat, now)) changed = true
        }
        if (changed) changes.touch(machine)
        return true
    }

    private fun isNews(
        machine: Machine,
        heartbeat: Heartbeat,
    ): Boolean {
        if (heartbeat.agentEpoch != machine.agentEpoch) return heartbeat.agentEpoch > machine.agentEpoch
        // A report of a session that has run out is a late one: what it lists is gone.
        return heartbeat.sequence > machine.sequence && !machine.lost
    }

    /** The worker has killed and forgotten all tasks of the earlier session; orders with it are refused. */
    private fun newAgentEpoch(
        machine: Machine,
        agentEpoch: Long,
        now: Long,
    ) {
        machine.begin(agentEpoch)
        machine.agentEpochFirstSeenUs = now
        // Its lease ran out although it was answered, so it may not hear us: it has to heed an order first.
        machine.unresponsive = true
    }

    /** Takes over the task list of a worker that has shown this owner's token; true where it changes something. */
    private fun takeTasks(
        machine: Machine,
        heartbeat: Heartbeat,
        now: Long,
    ): Boolean {
        var changed = false
        for (row in heartbeat.tasks) if (takeTask(machine, row, heartbeat.sequence, now)) changed = true
        if (machine.drop { it.isListed && it.lastListedSequence != heartbeat.sequence }) changed = true
        if (changed) machine.changed()
        return changed
    }

    private fun takeTask(
        machine: Machine,
        row: TaskReport,
        sequence: Long,
        now: Long,
    ): Boolean {
        var attempt = machine.attempts.get(row.attempt)
        var changed = false
        if (attempt == null) {
            attempt = WorkerAttempt(row.task, row.attempt, now)
            attempt.version = changes.nextVersion
            machine.attempts.put(row.attempt, attempt)
            requirementsOf(attempt.job)?.let { machine.uses(it) }
            changed = true
        }
        attempt.lastListedSequence = sequence
        if (attempt.phase == row.phase && attempt.cause == row.cause) return changed
        // It took up a start: so it hears us.
        if (!attempt.isListed) machine.unresponsive = false
        if (attempt.isUnwantedStart) events(OrderEvent.LateStart(machine.name, machine.agentEpoch, attempt.task, attempt.number))
        attempt.phase = row.phase
        attempt.cause = row.cause
        attempt.version = changes.nextVersion
        return true
    }
}
