package lichenstage.partition

import lichenstage.app.MILLI
import lichenstage.cluster.Offer
import lichenstage.cluster.PartitionFrame

/** The changes of a partition's machines that its leader has not acknowledged, and the frames that tell of them. */
internal class ChangeLog(
    private val partition: String,
    private val term: Long,
    private val acquiredUs: Long,
) {
    /** In the order of the changes. */
    private val unacknowledged = LinkedHashSet<Machine>()
    private val offers = ArrayList<Offer>()
    private var version = 0L
    private var acknowledged = 0L
    private var leaderTerm = 0L

    /** The last of the leader's frames that was taken, and the one up to which all that it changed has been told. */
    private var receivedSeq = 0L
    private var toldSeq = 0L
    private var dirty = true
    private var sentUs = Long.MIN_VALUE / 2

    /** The version that the next change gets. */
    val nextVersion get() = version + 1

    /** What changed of the machine has got the version that it gets here. */
    fun touch(machine: Machine) {
        machine.touched(++version)
        unacknowledged.remove(machine)
        unacknowledged.add(machine)
        dirty = true
    }

    fun forget(machine: Machine) {
        unacknowledged -= machine
    }

    /** There is something to tell soon. */
    fun markDirty() {
        dirty = true
    }

    fun offer(offer: Offer) {
        offers += offer
    }

    /** A leader's frame; false where it is an older one, which is not obeyed (invariant 8). */
    fun accepts(
        frameTerm: Long,
        seq: Long,
    ): Boolean = frameTerm > leaderTerm || (frameTerm == leaderTerm && seq > receivedSeq)

    /** True where the frame's leader is a new one. */
    fun isNewLeader(frameTerm: Long) = frameTerm > leaderTerm

    fun received(seq: Long) {
        receivedSeq = seq
    }

    /** A new leader knows nothing yet: it is told everything. */
    fun begin(
        newLeaderTerm: Long,
        machines: Collection<Machine>,
    ) {
        leaderTerm = newLeaderTerm
        receivedSeq = 0
        toldSeq = 0
        acknowledged = 0
        offers.clear()
        unacknowledged.clear()
        unacknowledged += machines.sortedBy { it.version }
        machines.forEach {
            it.changed()
            it.unknown()
        }
        dirty = true
    }

    fun acknowledge(upTo: Long) {
        acknowledged = maxOf(acknowledged, upTo)
        val iterator = unacknowledged.iterator()
        while (iterator.hasNext()) {
            val machine = iterator.next()
            if (machine.version > acknowledged) return
            machine.acknowledged()
            iterator.remove()
        }
    }

    /** The next frame for the leader, or null while there is nothing to say. Offers go at once, the rest in batches. */
    fun next(now: Long): PartitionFrame? {
        if (leaderTerm == 0L || !isDue(now)) return null
        sentUs = now
        val told = unacknowledged.take(MOST_TOLD)
        val whole = told.size == unacknowledged.size
        dirty = !whole
        // While a piece is missing, nothing may be concluded from what is not listed.
        if (whole) toldSeq = receivedSeq
        val frame =
            PartitionFrame(
                partition = partition,
                term = term,
                ageUs = now - acquiredUs,
                leaderTerm = leaderTerm,
                seq = toldSeq,
                receivedSeq = receivedSeq,
                since = acknowledged,
                version = if (whole) version else told.last().version,
                whole = whole,
                machines = told.map { it.view() },
                offers = ArrayList(offers),
            )
        offers.clear()
        return frame
    }

    private fun isDue(now: Long): Boolean {
        val waitedUs = now - sentUs
        if (!dirty) return waitedUs >= HEARTBEAT_US
        return waitedUs >= BATCH_US || offers.isNotEmpty()
    }

    private companion object {
        const val HEARTBEAT_US = 800 * MILLI
        const val BATCH_US = 100 * MILLI
        const val MOST_TOLD = 100
    }
}
