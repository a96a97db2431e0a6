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
    private val lastProbedUs = HashMap<String, Long>()
    private val inFlight = HashSet<String>()

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
        lastProbedUs -= machine
    }

    /** The probes to send now, at most [limit]. */
    fun next(
        now: Long,
        limit: Int,
        machineOf: (String) -> Machine?,
    ): List<StatusProbe> {
        val due = ArrayList<StatusProbe>()
        for ((name, address) in addresses) {
            if (inFlight.size >= MAX_IN_FLIGHT || due.size >= limit) break
            val machine = machineOf(name)
            if (isReachable(machine) || !isDue(name, now)) continue
            inFlight += name
            lastProbedUs[name] = now
            due += StatusProbe(name, machine?.address ?: address, machine?.fencingToken ?: term, machine?.agentEpoch ?: 0)
        }
        return due
    }

    private fun isReachable(machine: Machine?) = machine != null && machine.tokenConfirmed && !machine.unresponsive

    private fun isDue(
        machine: String,
        now: Long,
    ) = machine !in inFlight && now - (lastProbedUs[machine] ?: (Long.MIN_VALUE / 2)) > RETRY_INTERVAL_US

    /** The probe has been answered, or has been given up. */
    fun complete(probe: StatusProbe) {
        inFlight -= probe.machine
    }

    private companion object {
        const val RETRY_INTERVAL_US = 1500 * MILLI
        const val MAX_IN_FLIGHT = 24
    }
}
