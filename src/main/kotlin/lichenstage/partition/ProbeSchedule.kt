package lichenstage.partition

import lichenstage.common.MILLI

/**
 * A question to a worker for its current state under [fencingToken], sent as an order without commands.
 *
 * @property agentEpoch the agent epoch by which the machine is known; 0 where it is not known
 */
data class StatusProbe(
    val machine: String,
    val address: String,
    val fencingToken: Long,
    val agentEpoch: Long = 0,
)

/**
 * Decides which machines are probed: those that have not shown a token of their owner, and those that may not receive commands.
 *
 * A new owner need not wait until each worker has found it, since the answer to a probe confirms the token (invariant 3). It renews no
 * lease. The number of probes in flight is bounded: after a failover hundreds would be due.
 *
 * @property term the partition's term, the fencing token of machines that are not known yet
 */
internal class ProbeSchedule(
    private val term: Long,
) {
    private val addresses = HashMap<String, String>()
    private val lastProbedAtUs = HashMap<String, Long>()
    private val machinesInFlight = HashSet<String>()

    /** Adds machines with their addresses. */
    fun addAll(machines: Map<String, String>) {
        addresses += machines
    }

    /** Adds a machine with its address. */
    fun add(
        machine: String,
        address: String,
    ) {
        addresses[machine] = address
    }

    /** Drops a machine that the partition has removed. */
    fun remove(machine: String) {
        addresses -= machine
        lastProbedAtUs -= machine
    }

    /** The probes to send now, at most [limit]. */
    fun nextProbes(
        nowUs: Long,
        limit: Int,
        findMachine: (String) -> Machine?,
    ): List<StatusProbe> {
        val dueProbes = ArrayList<StatusProbe>()
        for ((name, address) in addresses) {
            if (machinesInFlight.size >= MAX_IN_FLIGHT || dueProbes.size >= limit) break
            val machine = findMachine(name)
            if (isReachable(machine) || !isDue(name, nowUs)) continue
            machinesInFlight += name
            lastProbedAtUs[name] = nowUs
            dueProbes += StatusProbe(name, machine?.address ?: address, machine?.fencingToken ?: term, machine?.agentEpoch ?: 0)
        }
        return dueProbes
    }

    private fun isReachable(machine: Machine?) = machine != null && machine.isTokenConfirmed && !machine.isUnresponsive

    private fun isDue(
        machine: String,
        nowUs: Long,
    ) = machine !in machinesInFlight && nowUs - (lastProbedAtUs[machine] ?: (Long.MIN_VALUE / 2)) > RETRY_INTERVAL_US

    /** The probe has been answered, or has been given up. */
    fun handleProbeEnd(probe: StatusProbe) {
        machinesInFlight -= probe.machine
    }

    private companion object {
        const val RETRY_INTERVAL_US = 1500 * MILLI
        const val MAX_IN_FLIGHT = 24
    }
}
