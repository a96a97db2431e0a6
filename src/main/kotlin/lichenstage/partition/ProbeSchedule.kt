package lichenstage.partition

import lichenstage.common.MILLI

/**
 * Machines to be asked at once whether they know their owner's token, or whether they hear us. A new owner need not wait
 * until each worker has found it: the answer to an empty order is a report that settles the machine (invariant 3). It
 * renews no lease. Only some are asked at a time: after a takeover hundreds would be due.
 */
internal class ProbeSchedule(
    /** The partition's term: the token of machines that are not known yet. */
    private val term: Long,
) {
    private val addresses = HashMap<String, String>()
    private val probedUs = HashMap<String, Long>()
    private val underWay = HashSet<String>()

    /** Machines and their addresses, as reports or the leader name them. */
    fun known(machines: Map<String, String>) {
        addresses += machines
    }

    fun known(
        machine: String,
        address: String,
    ) {
        addresses[machine] = address
    }

    fun forget(machine: String) {
        addresses -= machine
        probedUs -= machine
    }

    fun next(
        now: Long,
        most: Int,
        machineOf: (String) -> Machine?,
    ): List<StatusProbe> {
        val due = ArrayList<StatusProbe>()
        for ((name, address) in addresses) {
            if (underWay.size >= MAX_IN_FLIGHT || due.size >= most) break
            val machine = machineOf(name)
            if ((machine != null && machine.tokenConfirmed && !machine.unresponsive) || !isDue(name, now)) continue
            underWay += name
            probedUs[name] = now
            due += StatusProbe(name, machine?.address ?: address, machine?.fencingToken ?: term, machine?.agentEpoch ?: 0)
        }
        return due
    }

    private fun isDue(
        machine: String,
        now: Long,
    ) = machine !in underWay && now - (probedUs[machine] ?: (Long.MIN_VALUE / 2)) > RETRY_INTERVAL_US

    /** The probe has been answered, or given up. */
    fun over(probe: StatusProbe) {
        underWay -= probe.machine
    }

    private companion object {
        const val RETRY_INTERVAL_US = 1500 * MILLI
        const val MAX_IN_FLIGHT = 24
    }
}
