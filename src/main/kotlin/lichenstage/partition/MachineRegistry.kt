package lichenstage.partition

import lichenstage.common.SECOND
import lichenstage.common.withDrift
import lichenstage.model.MachineLimits

/** The machines of a partition: who is there, whose heartbeats are overdue, and whose lease has expired. */
internal class MachineRegistry(
    private val parameters: PartitionParameters,
    private val fencingTokens: FencingTokens,
    private val changeLog: ChangeLog,
    private val limitsOf: (String) -> MachineLimits?,
) {
    private val machinesByName = HashMap<String, Machine>()

    val size get() = machinesByName.size
    val all: Collection<Machine> get() = machinesByName.values

    /** The machine of this name; null where it is not known. */
    operator fun get(name: String): Machine? = machinesByName[name]

    /** The machine that sent [heartbeat], added where it is not known yet. */
    fun getOrAdd(
        heartbeat: Heartbeat,
        nowUs: Long,
    ): Machine = machinesByName.getOrPut(heartbeat.machine) { createMachine(heartbeat, nowUs) }

    private fun createMachine(
        heartbeat: Heartbeat,
        nowUs: Long,
    ): Machine {
        val cacheGb = limitsOf(heartbeat.typeName)?.cacheGb ?: Double.POSITIVE_INFINITY
        val machine = Machine(heartbeat.machine, heartbeat, cacheGb)
        machine.agentEpochFirstSeenAtUs = nowUs
        // One that was removed may come back with the token that it was last given.
        machine.fencingToken = if (fencingTokens.isIssuedByOwner(heartbeat.fencingToken)) heartbeat.fencingToken else parameters.term
        changeLog.record(machine)
        return machine
    }

    /** Marks machines as silent whose heartbeats are overdue, and as lost whose lease has expired. */
    fun updateLiveness(nowUs: Long) = machinesByName.values.forEach { updateLiveness(it, nowUs) }

    private fun updateLiveness(
        machine: Machine,
        nowUs: Long,
    ) {
        if (!machine.isLost && isLeaseExpired(machine, nowUs)) {
            machine.isLost = true
            machine.removeAttempts { true }
            machine.invalidateUsedResources()
            changeLog.record(machine)
        }
        val isSilent = isHeartbeatOverdue(machine, nowUs)
        if (isSilent != machine.isSilent) {
            machine.isSilent = isSilent
            changeLog.record(machine)
        }
    }

    /** Past its lease, counted from the last answer to it, a worker has killed its tasks (invariant 3). */
    private fun isLeaseExpired(
        machine: Machine,
        nowUs: Long,
    ): Boolean {
        val leaseStartedAtUs = maxOf(machine.lastReplyAtUs, machine.agentEpochFirstSeenAtUs, parameters.acquiredAtUs)
        return nowUs - leaseStartedAtUs > withDrift(parameters.workerLeaseUs) + EXPIRY_MARGIN_US
    }

    /** Counted from the failover at the earliest: a worker needs time to find its new owner. */
    private fun isHeartbeatOverdue(
        machine: Machine,
        nowUs: Long,
    ): Boolean {
        val lastSeenAtUs = maxOf(machine.lastMessageAtUs, parameters.acquiredAtUs)
        return nowUs - lastSeenAtUs > parameters.heartbeatIntervalUs * SILENT_HEARTBEATS + EXPIRY_MARGIN_US
    }

    /** Removes and returns the machines that have been lost for so long that nothing needs to be known of them. */
    fun removeLongLostMachines(nowUs: Long): List<Machine> {
        val removed = machinesByName.values.filter { it.isLost && nowUs - it.lastReplyAtUs > LOST_MACHINE_RETENTION_US }
        removed.forEach { machinesByName -= it.name }
        return removed
    }

    private companion object {
        const val EXPIRY_MARGIN_US = SECOND

        /** So many heartbeats in a row are missing where a machine is silent. */
        const val SILENT_HEARTBEATS = 3
        const val LOST_MACHINE_RETENTION_US = 1200 * SECOND
    }
}
