package lichenstage.placement

import lichenstage.common.MILLI
import lichenstage.common.SECOND

/**
 * The record of what each partition has received from the leader besides placement requests and commands: the jobs and machines that
 * existed when its owner took over, and the cordoned machines.
 */
class PartitionSync {
    private val initialStateSeq = HashMap<String, Long>()
    private val lastSentCordoned = HashMap<String, Set<String>>()
    private val cordonedLastSentAtUs = HashMap<String, Long>()

    /**
     * Returns whether the owner of partition [id] has acknowledged the jobs and machines that existed when its first frame was sent.
     * Every frame must contain them until then; the data of later jobs is sent with their requests. [seq] is the sequence number of the
     * frame that is about to be sent.
     */
    fun hasInitialState(
        id: String,
        partition: PartitionState?,
        seq: Long,
    ): Boolean {
        val firstSeq = initialStateSeq.getOrPut("$id ${partition?.term}") { seq }
        return partition != null && partition.receivedSeq >= firstSeq
    }

    /**
     * Returns the machines of partition [id] that get no more tasks, and records them as sent. Returns null if the frame should not
     * contain them: the partition has sent no frame yet, or the set was sent a moment ago, or it has not changed and was sent recently.
     */
    fun takeCordonedIfDue(
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
