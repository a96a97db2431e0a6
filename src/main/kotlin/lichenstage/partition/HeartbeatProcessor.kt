package lichenstage.partition

import lichenstage.model.JobRequirements

/** The logic that applies heartbeats to the partition's view of its machines and ignores outdated content (invariant 3). */
internal class HeartbeatProcessor(
    private val fencingTokens: FencingTokens,
    private val changeLog: ChangeLog,
    private val reportEvent: (OrderEvent) -> Unit,
    private val requirementsOf: (String) -> JobRequirements?,
) {
    /** Applies [heartbeat]. Returns false, without any effect, if the heartbeat is older than the last applied one or a copy of it. */
    fun apply(
        machine: Machine,
        heartbeat: Heartbeat,
        nowUs: Long,
    ): Boolean {
        if (!isNewer(machine, heartbeat)) return false
        machine.lastMessageAtUs = nowUs
        var hasChanged =
            machine.isLost || machine.address != heartbeat.address ||
                (machine.timeUntilReclaimUs == null) != (heartbeat.timeUntilReclaimUs == null)
        if (heartbeat.agentEpoch > machine.agentEpoch) {
            startAgentEpoch(machine, heartbeat.agentEpoch, nowUs)
            hasChanged = true
        }
        machine.lastAppliedSequence = heartbeat.sequence
        machine.isLost = false
        machine.address = heartbeat.address
        machine.timeUntilReclaimUs = heartbeat.timeUntilReclaimUs
        if (fencingTokens.isIssuedByOwner(heartbeat.fencingToken)) {
            if (!machine.isTokenConfirmed) hasChanged = true
            machine.observedFencingToken = maxOf(machine.observedFencingToken, heartbeat.fencingToken)
            if (applyTasks(machine, heartbeat, nowUs)) hasChanged = true
        }
        if (hasChanged) changeLog.record(machine)
        return true
    }

    private fun isNewer(
        machine: Machine,
        heartbeat: Heartbeat,
    ): Boolean {
        if (heartbeat.agentEpoch != machine.agentEpoch) return heartbeat.agentEpoch > machine.agentEpoch
        // If the machine is lost, a heartbeat of the same epoch was sent before the lease expired, and its tasks have been killed since.
        return heartbeat.sequence > machine.lastAppliedSequence && !machine.isLost
    }

    /**
     * Begins a new agent epoch of the machine. The worker has killed and forgotten all tasks of the earlier epoch, and refuses orders that
     * carry the earlier epoch.
     */
    private fun startAgentEpoch(
        machine: Machine,
        agentEpoch: Long,
        nowUs: Long,
    ) {
        machine.startAgentEpoch(agentEpoch)
        machine.agentEpochFirstSeenAtUs = nowUs
        // The worker's lease has expired, possibly although its heartbeats were accepted. Replies may therefore not reach the worker. It
        // gets new tasks only after it has replied to an order or a probe.
        machine.isUnresponsive = true
    }

    /** Applies the task list of a worker that has shown this owner's token. Returns whether the list changes anything. */
    private fun applyTasks(
        machine: Machine,
        heartbeat: Heartbeat,
        nowUs: Long,
    ): Boolean {
        var hasChanged = false
        for (report in heartbeat.tasks) if (applyTask(machine, report, heartbeat.sequence, nowUs)) hasChanged = true
        if (machine.removeAttempts { it.isListed && it.lastListedSequence != heartbeat.sequence }) hasChanged = true
        if (hasChanged) machine.invalidateUsedResources()
        return hasChanged
    }

    private fun applyTask(
        machine: Machine,
        report: TaskReport,
        sequence: Long,
        nowUs: Long,
    ): Boolean {
        val existing = machine.attempts.get(report.attemptNumber)
        val attempt = existing ?: addAttempt(machine, report, nowUs)
        attempt.lastListedSequence = sequence
        if (attempt.phase == report.phase && attempt.cause == report.cause) return existing == null
        // The worker has executed a start, which proves that commands reach it.
        if (!attempt.isListed) machine.isUnresponsive = false
        if (attempt.isUnwantedStart) {
            reportEvent(
                OrderEvent.UnwantedStartListed(machine.name, machine.agentEpoch, attempt.taskId, attempt.number),
            )
        }
        attempt.phase = report.phase
        attempt.cause = report.cause
        attempt.version = changeLog.nextVersion
        return true
    }

    private fun addAttempt(
        machine: Machine,
        report: TaskReport,
        nowUs: Long,
    ): WorkerAttempt {
        val attempt = WorkerAttempt(report.taskId, report.attemptNumber, nowUs)
        attempt.version = changeLog.nextVersion
        machine.attempts.put(report.attemptNumber, attempt)
        requirementsOf(attempt.job)?.let(machine::recordImageUse)
        return attempt
    }
}
