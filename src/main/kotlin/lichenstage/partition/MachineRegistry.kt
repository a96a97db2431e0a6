package lichenstage.partition

import lichenstage.common.SECOND
import lichenstage.common.withDrift
import lichenstage.model.MachineLimits

/** The machines of a partition: who is there, whose heartbeats are overdue, and whose lease has expired. */
internal class MachineRegistry(
    private val parameters: PartitionParameters,
    private val fencingTokens: FencingTokens,
    private val changes: ChangeLog,
    private val limitsOf: (String) -> MachineLimits?,
) {
    private val machines = HashMap<String, Machine>()

    val size get() = machines.size
    val all: Collection<Machine> get() = machines.values

    /** The machine of this name; null where it is not known. */
    operator fun get(name: String): Machine? = machines[name]

    /** The machine that sent [heartbeat], added where it is not known yet. */
    fun getOrAdd(
        heartbeat: Heartbeat,
        now: Long,
    ): Machine = machines.getOrPut(heartbeat.machine) { newMachine(heartbeat, now) }

    private fun newMachine(
        heartbeat: Heartbeat,
        now: Long,
    ): Machine {
        val cacheGb = limitsOf(heartbeat.typeName)?.cacheGb ?: Double.POSITIVE_INFINITY
        val machine = Machine(heartbeat.machine, heartbeat, cacheGb)
        machine.agentEpochFirstSeenUs = now
        // One that was removed may come back with the token that it was last given.
        machine.fencingToken = if (fencingTokens.isIssuedByOwner(heartbeat.fencingToken)) heartbeat.fencingToken else parameters.term
        changes.record(machine)
        return machine
    }

    /** Marks machines as silent whose heartbeats are overdue, and as lost whose lease has expired. */
    fun expire(now: Long) = machines.values.forEach { expire(it, now) }

    private fun expire(
        machine: Machine,
        now: Long,
    ) {
        if (!machine.lost && isLeaseExpired(machine, now)) {
            machine.lost = true
            machine.removeAttempts { true }
            machine.invalidateUsage()
            changes.record(machine)
        }
        val silent = isSilent(machine, now)
        if (silent != machine.silent) {
            machine.silent = silent
            changes.record(machine)
        }
    }

    /** Past its lease, counted from the last answer to it, a worker has killed its tasks (invariant 3). */
    private fun isLeaseExpired(
        machine: Machine,
        now: Long,
    ): Boolean {
        val sinceUs = maxOf(machine.lastAnsweredUs, machine.agentEpochFirstSeenUs, parameters.acquiredUs)
        return now - sinceUs > withDrift(parameters.workerLeaseUs) + EXPIRY_MARGIN_US
    }

    /** Counted from the failover at the earliest: a worker needs time to find its new owner. */
    private fun isSilent(
        machine: Machine,
        now: Long,
    ): Boolean {
        val sinceUs = maxOf(machine.lastMessageUs, parameters.acquiredUs)
        return now - sinceUs > parameters.heartbeatIntervalUs * SILENT_HEARTBEATS + EXPIRY_MARGIN_US
    }

    /** Removes and returns the machines that have been lost for so long that nothing needs to be known of them. */
    fun removeLongLost(now: Long): List<Machine> {
        val removed = machines.values.filter { it.lost && now - it.lastAnsweredUs > LOST_MACHINE_RETENTION_US }
        removed.forEach { machines -= it.name }
        return removed
    }

    private companion object {
        const val EXPIRY_MARGIN_US = SECOND

        /** So many heartbeats in a row are missing where a machine is silent. */
        const val SILENT_HEARTBEATS = 3
        const val LOST_MACHINE_RETENTION_US = 1200 * SECOND
    }
}
