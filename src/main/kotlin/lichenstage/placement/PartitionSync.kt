package lichenstage.placement

import lichenstage.common.MILLI
import lichenstage.common.SECOND

/** What each partition has received beside requests and orders: the jobs and machines that were there, and which get no tasks. */
class PartitionSync {
    private val initialStateSeq = HashMap<String, Long>()
    private val lastSentCordoned = HashMap<String, Set<String>>()
    private val cordonedLastSentAtUs = HashMap<String, Long>()

    /** The known jobs and machines are sent to a partition until it has acknowledged them; later jobs come with requests. */
    fun hasInitialState(
        id: String,
        partition: PartitionState?,
        seq: Long,
    ): Boolean {
        val firstSeq = initialStateSeq.getOrPut("$id ${partition?.term}") { seq }
        return partition != null && partition.receivedSeq >= firstSeq
    }

    /** The machines of a partition that get no tasks; null where that has not changed and was sent a short while ago. */
    fun cordonedIfDue(
        id: String,
        partition: PartitionState?,
        nowUs: Long,
        isCordoned: (String) -> Boolean,
    ): Set<String>? {
        if (partition == null) return null
        val sinceLastSentUs = nowUs - (cordonedLastSentAtUs[id] ?: (Long.MIN_VALUE / 2))
        if (sinceLastSentUs < MIN_CORDON_INTERVAL_US) return null
        val cordonedMachines = partition.machines.keys.filterTo(HashSet(), isCordoned)
        if (cordonedMachines == lastSentCordoned[id] && sinceLastSentUs < CORDON_RESEND_US) return null
        lastSentCordoned[id] = cordonedMachines
        cordonedLastSentAtUs[id] = nowUs
        return cordonedMachines
    }

    private companion object {
        const val MIN_CORDON_INTERVAL_US = 300 * MILLI
        const val CORDON_RESEND_US = 4 * SECOND
    }
}
