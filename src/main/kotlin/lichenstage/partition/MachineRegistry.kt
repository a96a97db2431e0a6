package lichenstage.partition

import lichenstage.common.SECOND
import lichenstage.common.withDrift
import lichenstage.model.MachineLimits

/** The machines of a partition, with the checks for overdue messages and expired leases. */
internal class MachineRegistry(
    private val parameters: PartitionParameters,
    private val fencingTokens: FencingTokens,
    private val changeLog: ChangeLog,
    private val limitsOf: (String) -> MachineLimits?,
) {
    private val machinesByName = HashMap<String, Machine>()

    val size get() = machinesByName.size
    val all: Collection<Machine> get() = machinesByName.values

    /** Returns the machine with this name, or null if it is unknown. */
    operator fun get(name: String): Machine? = machinesByName[name]

    /** Returns the machine that sent [heartbeat], and adds it if it is unknown. */
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
        // A machine that was removed may come back with the newer fencing token that this owner gave it.
        machine.fencingToken = if (fencingTokens.isIssuedByOwner(heartbeat.fencingToken)) heartbeat.fencingToken else parameters.term
        changeLog.record(machine)
        return machine
    }

    /** Marks the machines whose messages are overdue as silent and those with an expired lease as lost. */
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
        val isSilent = isMessageOverdue(machine, nowUs)
        if (isSilent != machine.isSilent) {
            machine.isSilent = isSilent
            changeLog.record(machine)
        }
    }

    /** Returns whether the worker's lease, counted from the last reply, has expired. The worker has then killed its tasks (invariant 3). */
    private fun isLeaseExpired(
        machine: Machine,
        nowUs: Long,
    ): Boolean {
        val leaseStartedAtUs = maxOf(machine.lastReplyAtUs, machine.agentEpochFirstSeenAtUs, parameters.acquiredAtUs)
        return nowUs - leaseStartedAtUs > withDrift(parameters.workerLeaseUs) + EXPIRY_MARGIN_US
    }

    /**
     * Returns whether no message (a heartbeat, or the reply to an order or a probe) has been applied for several heartbeat intervals. The
     * time counts from the failover at the earliest, because workers first have to find the new owner.
     */
    private fun isMessageOverdue(
        machine: Machine,
        nowUs: Long,
    ): Boolean {
        val lastSeenAtUs = maxOf(machine.lastMessageAtUs, parameters.acquiredAtUs)
        return nowUs - lastSeenAtUs > parameters.heartbeatIntervalUs * SILENT_HEARTBEATS + EXPIRY_MARGIN_US
    }

    /** Removes and returns the lost machines whose last accepted heartbeat is older than the retention time. */
    fun removeLongLostMachines(nowUs: Long): List<Machine> {
        val removed = machinesByName.values.filter { it.isLost && nowUs - it.lastReplyAtUs > LOST_MACHINE_RETENTION_US }
        removed.forEach { machinesByName -= it.name }
        return removed
    }

    private companion object {
        const val EXPIRY_MARGIN_US = SECOND

        /** The number of heartbeat intervals without a message after which a machine is silent. */
        const val SILENT_HEARTBEATS = 3
        const val LOST_MACHINE_RETENTION_US = 1200 * SECOND
    }
}
