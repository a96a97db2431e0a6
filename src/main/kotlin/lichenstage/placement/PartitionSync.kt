package lichenstage.placement

import lichenstage.common.MILLI
import lichenstage.common.SECOND

/** What each partition has received beside requests and orders: the jobs and machines that were there, and which get no tasks. */
class PartitionSync {
    private val initialStateSeq = HashMap<String, Long>()
    private val cordonedSent = HashMap<String, Set<String>>()
    private val cordonedSentUs = HashMap<String, Long>()

    /** The known jobs and machines are sent to a partition until it has acknowledged them; later jobs come with requests. */
    fun hasInitialState(
        id: String,
        partition: PartitionState?,
        seq: Long,
    ): Boolean {
        val first = initialStateSeq.getOrPut("$id ${partition?.term}") { seq }
        return partition != null && partition.receivedSeq >= first
    }

    /** The machines of a partition that get no tasks; null where that has not changed and was sent a short while ago. */
    fun cordonDelta(
        id: String,
        partition: PartitionState?,
        now: Long,
        cordoned: (String) -> Boolean,
    ): Set<String>? {
        if (partition == null) return null
        val due = now - (cordonedSentUs[id] ?: (Long.MIN_VALUE / 2))
        if (due < MIN_CORDON_INTERVAL_US) return null
        val here = partition.machines.keys.filterTo(HashSet(), cordoned)
        if (here == cordonedSent[id] && due < CORDON_RESEND_US) return null
        cordonedSent[id] = here
        cordonedSentUs[id] = now
        return here
    }

    private companion object {
        const val MIN_CORDON_INTERVAL_US = 300 * MILLI
        const val CORDON_RESEND_US = 4 * SECOND
    }
}
