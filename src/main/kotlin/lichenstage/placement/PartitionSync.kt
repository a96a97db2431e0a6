package lichenstage.placement

import lichenstage.common.MILLI
import lichenstage.common.SECOND

/** What each partition has been told beside requests and orders: the jobs and machines that were there, and which get no tasks. */
class PartitionSync {
    private val informedBy = HashMap<String, Long>()
    private val cordonedSent = HashMap<String, Set<String>>()
    private val cordonedSentUs = HashMap<String, Long>()

    /** What is known of jobs and machines goes to a partition until it has shown that it got it; later jobs come with requests. */
    fun informed(
        id: String,
        partition: PartitionState?,
        seq: Long,
    ): Boolean {
        val first = informedBy.getOrPut("$id ${partition?.term}") { seq }
        return partition != null && partition.receivedSeq >= first
    }

    /** The machines of a partition that get no tasks, where that has changed or was told long ago. */
    fun cordonDelta(
        id: String,
        partition: PartitionState?,
        now: Long,
        cordoned: (String) -> Boolean,
    ): Set<String>? {
        if (partition == null) return null
        val due = now - (cordonedSentUs[id] ?: (Long.MIN_VALUE / 2))
        if (due < CLOSED_US) return null
        val here = partition.machines.keys.filterTo(HashSet(), cordoned)
        if (here == cordonedSent[id] && due < CLOSED_AGAIN_US) return null
        cordonedSent[id] = here
        cordonedSentUs[id] = now
        return here
    }

    private companion object {
        const val CLOSED_US = 300 * MILLI
        const val CLOSED_AGAIN_US = 4 * SECOND
    }
}
