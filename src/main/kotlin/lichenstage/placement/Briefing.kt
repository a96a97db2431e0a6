package lichenstage.placement

import lichenstage.app.MILLI
import lichenstage.app.SECOND

/** What each part has been told beside requests and orders: the jobs and machines that were there, and which get no tasks. */
class Briefing {
    private val informedBy = HashMap<String, Long>()
    private val closedTold = HashMap<String, Set<String>>()
    private val closedToldUs = HashMap<String, Long>()

    /** What is known of jobs and machines goes to a part until it has shown that it got it; later jobs come with requests. */
    fun informed(
        id: String,
        partition: PartitionState?,
        seq: Long,
    ): Boolean {
        val first = informedBy.getOrPut("$id ${partition?.term}") { seq }
        return partition != null && partition.receivedSeq >= first
    }

    /** The machines of a part that get no tasks, where that has changed or was told long ago. */
    fun closedNews(
        id: String,
        partition: PartitionState?,
        now: Long,
        closed: (String) -> Boolean,
    ): Set<String>? {
        if (partition == null) return null
        val due = now - (closedToldUs[id] ?: (Long.MIN_VALUE / 2))
        if (due < CLOSED_US) return null
        val here = partition.machines.keys.filterTo(HashSet(), closed)
        if (here == closedTold[id] && due < CLOSED_AGAIN_US) return null
        closedTold[id] = here
        closedToldUs[id] = now
        return here
    }

    private companion object {
        const val CLOSED_US = 300 * MILLI
        const val CLOSED_AGAIN_US = 4 * SECOND
    }
}
