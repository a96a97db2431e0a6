package lichenstage.partition

import it.unimi.dsi.fastutil.longs.Long2LongLinkedOpenHashMap
import lichenstage.cluster.Offer
import lichenstage.cluster.PartitionFrame
import lichenstage.common.MILLI

/** The changes of a partition's machines that its leader has not acknowledged, and the frames that tell of them. */
internal class ChangeLog(
    private val partition: String,
    private val term: Long,
    private val acquiredUs: Long,
    private val maxMachinesPerFrame: Int,
    /** How many machines the partition has. */
    private val machineCount: () -> Int,
) {
    /** In the order of the changes. */
    private val unacknowledged = LinkedHashSet<Machine>()
    private val offers = ArrayList<Offer>()
    private var version = 0L
    private var acknowledged = 0L
    private var leaderTerm = 0L

    /** The last of the leader's frames that was taken. */
    private var receivedSeq = 0L

    /** The frame of the leader up to which it is known to know all that came of its frames. */
    private var confirmedSeq = 0L

    /** Whole frames that are not acknowledged: the leader's frame up to which each told all, by the version that is its alone. */
    private val unconfirmed = Long2LongLinkedOpenHashMap()
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
        confirmedSeq = 0
        unconfirmed.clear()
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
        confirm(upTo)
        acknowledged = maxOf(acknowledged, upTo)
        val iterator = unacknowledged.iterator()
        while (iterator.hasNext()) {
            val machine = iterator.next()
            if (machine.version > acknowledged) return
            machine.acknowledged()
            iterator.remove()
        }
    }

    /**
     * The leader has this very version. Only where that is a whole frame's own version does it say that the frame has arrived: it may
     * have come to a higher one by pieces, which leave out machines that have changed again.
     */
    private fun confirm(acknowledgedVersion: Long) {
        if (!unconfirmed.containsKey(acknowledgedVersion)) return
        confirmedSeq = maxOf(confirmedSeq, unconfirmed.get(acknowledgedVersion))
        while (!unconfirmed.isEmpty() && unconfirmed.firstLongKey() <= acknowledgedVersion) unconfirmed.removeFirstLong()
    }

    /** A whole frame has a version that no piece can end with, so that its acknowledgement is told from theirs. */
    private fun beginWhole() {
        val known = receivedSeq == confirmedSeq || (unconfirmed.containsKey(version) && unconfirmed.get(version) == receivedSeq)
        if (known) return
        unconfirmed.put(++version, receivedSeq)
        if (unconfirmed.size > MAX_UNCONFIRMED) unconfirmed.removeFirstLong()
    }

    /** The next frame for the leader, or null while there is nothing to say. Offers go at once, the rest in batches. */
    fun next(now: Long): PartitionFrame? {
        if (leaderTerm == 0L || !isDue(now)) return null
        sentUs = now
        val told = firstUnacknowledged()
        val whole = told.size == unacknowledged.size
        dirty = !whole
        if (whole) beginWhole()
        val frame =
            PartitionFrame(
                partition = partition,
                term = term,
                ageUs = now - acquiredUs,
                leaderTerm = leaderTerm,
                // While a piece is missing, nothing may be concluded from what is not listed, also where an earlier frame was whole:
                // it may have been lost. (A task whose start that frame alone had told of was taken for never started.)
                seq = if (whole) receivedSeq else confirmedSeq,
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

    /**
     * What the next frame tells of. The more machines there are, the more of them change until the leader's answer: a frame of fixed size
     * would never tell all of a large partition, and only a frame that does lets the leader conclude anything from what is not listed
     * (invariant 17). At 4,000 machines of which a tenth changes until the answer, frames of a hundred never did.
     */
    private fun firstUnacknowledged(): List<Machine> {
        val most = maxMachinesPerFrame * ((machineCount() + MACHINES_PER_SHARE - 1) / MACHINES_PER_SHARE).coerceAtLeast(1)
        var attempts = 0
        return unacknowledged
            .asSequence()
            .take(most)
            .takeWhile { machine ->
                val isFirst = attempts == 0
                attempts += machine.attempts.size
                isFirst || attempts <= MAX_ATTEMPTS_PER_FRAME
            }.toList()
    }

    private fun isDue(now: Long): Boolean {
        val waitedUs = now - sentUs
        if (!dirty) return waitedUs >= HEARTBEAT_US
        return waitedUs >= BATCH_US || offers.isNotEmpty()
    }

    companion object {
        /** Machines of which one frame tells at the most, for each [MACHINES_PER_SHARE] machines that there are or part of that. */
        const val MAX_MACHINES_PER_FRAME = 100
        private const val MACHINES_PER_SHARE = 400

        /** At some 50 bytes each they leave a frame well below the size that is read, and a small process can hold it twice. */
        private const val MAX_ATTEMPTS_PER_FRAME = 30_000
        private const val HEARTBEAT_US = 800 * MILLI
        private const val MAX_UNCONFIRMED = 64
        private const val BATCH_US = 100 * MILLI
    }
}
