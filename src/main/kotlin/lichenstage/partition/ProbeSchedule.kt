package lichenstage.partition

import lichenstage.common.MILLI

/**
 * A request for a worker's current state, sent as a direct order without commands under [fencingToken].
 *
 * @property agentEpoch the last known agent epoch of the machine; 0 if unknown
 */
data class StatusProbe(
    val machine: String,
    val address: String,
    val fencingToken: Long,
    val agentEpoch: Long = 0,
)

/**
 * The schedule of probes to machines that have not shown a token of the owner and to unresponsive machines.
 *
 * A new owner does not have to wait until each worker has found it, because the reply to a probe confirms the token (invariant 3). A probe
 * renews no lease. The number of probes in flight is bounded, since hundreds would be due at once after a failover.
 *
 * @property term the partition's term, which is the fencing token for machines that the partition does not know yet
 */
internal class ProbeSchedule(
    private val term: Long,
) {
    private val addresses = HashMap<String, String>()
    private val lastProbedAtUs = HashMap<String, Long>()
    private val machinesBeingProbed = HashSet<String>()

    /** Adds machines, as a map from machine name to address. */
    fun addAll(machines: Map<String, String>) {
        addresses += machines
    }

    /** Adds a machine, or updates its address. */
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

    /** Returns the probes to send now, at most [limit], and counts them as in flight until [onProbeCompleted]. */
    fun nextProbes(
        nowUs: Long,
        limit: Int,
        findMachine: (String) -> Machine?,
    ): List<StatusProbe> {
        val dueProbes = ArrayList<StatusProbe>()
        for ((name, address) in addresses) {
            if (machinesBeingProbed.size >= MAX_IN_FLIGHT || dueProbes.size >= limit) break
            val machine = findMachine(name)
            if (isReachable(machine) || !isDue(name, nowUs)) continue
            machinesBeingProbed += name
            lastProbedAtUs[name] = nowUs
            dueProbes += StatusProbe(name, machine?.address ?: address, machine?.fencingToken ?: term, machine?.agentEpoch ?: 0)
        }
        return dueProbes
    }

    private fun isReachable(machine: Machine?) = machine != null && machine.isTokenConfirmed && !machine.isUnresponsive

    private fun isDue(
        machine: String,
        nowUs: Long,
    ) = machine !in machinesBeingProbed && nowUs - (lastProbedAtUs[machine] ?: (Long.MIN_VALUE / 2)) > RETRY_INTERVAL_US

    /** Records that the probe got a reply or was given up, so that the machine can be probed again. */
    fun onProbeCompleted(probe: StatusProbe) {
        machinesBeingProbed -= probe.machine
    }

    private companion object {
        const val RETRY_INTERVAL_US = 1500 * MILLI
        const val MAX_IN_FLIGHT = 24
    }
}
