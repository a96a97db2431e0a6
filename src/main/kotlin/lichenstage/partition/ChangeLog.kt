package lichenstage.partition

import it.unimi.dsi.fastutil.longs.Long2LongLinkedOpenHashMap
import lichenstage.cluster.Offer
import lichenstage.cluster.PartitionFrame
import lichenstage.common.MILLI

/**
 * The changes of a partition's machines that its leader has not acknowledged, and the frames that carry them (invariant 17).
 *
 * Each change gets the next version of the partition. A frame is *whole* where it carries everything that is unacknowledged; only then
 * may the leader conclude anything from what a frame leaves out.
 */
internal class ChangeLog(
    private val parameters: PartitionParameters,
) {
    /** In the order of the changes. */
    private val unacknowledged = LinkedHashSet<Machine>()
    private val pendingOffers = ArrayList<Offer>()
    private var version = 0L
    private var acknowledgedVersion = 0L
    private var leaderTerm = 0L

    /** The last frame of the leader that was received. */
    private var receivedSeq = 0L

    /** The frame of the leader up to which it is known to have all that its frames have caused. */
    private var confirmedSeq = 0L

    /** Whole frames that are not acknowledged: the leader's frame up to which each is complete, by the frame's own version. */
    private val unconfirmedFrames = Long2LongLinkedOpenHashMap()
    private var isFrameRequested = true
    private var lastSentAtUs = Long.MIN_VALUE / 2

    /** The version that the next change gets. */
    val nextVersion get() = version + 1

    /** Records a change of [machine] under [nextVersion]. */
    fun record(machine: Machine) {
        machine.markChanged(++version)
        unacknowledged.remove(machine)
        unacknowledged.add(machine)
        isFrameRequested = true
    }

    /** Drops a machine that the partition has removed. */
    fun remove(machine: Machine) {
        unacknowledged -= machine
    }

    /** Has a frame sent soon, whether or not a machine has changed. */
    fun requestFrame() {
        isFrameRequested = true
    }

    /** Adds an offer to the next frame. */
    fun addOffer(offer: Offer) {
        pendingOffers += offer
    }

    /** Whether a frame of the leader is newer than those received; an older one is not obeyed (invariant 8). */
    fun isNewerFrame(
        frameTerm: Long,
        seq: Long,
    ): Boolean = frameTerm > leaderTerm || (frameTerm == leaderTerm && seq > receivedSeq)

    /** Whether a frame with this term comes from a new leader. */
    fun isNewLeader(frameTerm: Long) = frameTerm > leaderTerm

    /** Records that the leader's frame [seq] was received. */
    fun markReceived(seq: Long) {
        receivedSeq = seq
    }

    /** Begins the term of a new leader: it knows nothing yet and is sent everything. */
    fun startLeaderTerm(
        newLeaderTerm: Long,
        machines: Collection<Machine>,
    ) {
        leaderTerm = newLeaderTerm
        receivedSeq = 0
        confirmedSeq = 0
        unconfirmedFrames.clear()
        acknowledgedVersion = 0
        pendingOffers.clear()
        unacknowledged.clear()
        unacknowledged += machines.sortedBy { it.version }
        machines.forEach {
            it.invalidateUsedResources()
            it.resetAcknowledged()
        }
        isFrameRequested = true
    }

    /** The leader has acknowledged all versions up to [upToVersion]. */
    fun acknowledge(upToVersion: Long) {
        confirmFinalFrame(upToVersion)
        acknowledgedVersion = maxOf(acknowledgedVersion, upToVersion)
        val iterator = unacknowledged.iterator()
        while (iterator.hasNext()) {
            val machine = iterator.next()
            if (machine.version > acknowledgedVersion) return
            machine.markAcknowledged()
            iterator.remove()
        }
    }

    /**
     * The leader has this very version. Only where that is a whole frame's own version does it prove that the frame has arrived: the leader
     * may have come to a higher version by partial frames, which leave out machines that have changed again.
     */
    private fun confirmFinalFrame(leaderVersion: Long) {
        if (!unconfirmedFrames.containsKey(leaderVersion)) return
        confirmedSeq = maxOf(confirmedSeq, unconfirmedFrames.get(leaderVersion))
        while (!unconfirmedFrames.isEmpty() && unconfirmedFrames.firstLongKey() <= leaderVersion) unconfirmedFrames.removeFirstLong()
    }

    /** Gives a whole frame a version that no partial frame can end with, so that their acknowledgements can be told apart. */
    private fun startFinalFrame() {
        val isConfirmed = receivedSeq == confirmedSeq
        val isVersionShared = unconfirmedFrames.containsKey(version) && unconfirmedFrames.get(version) == receivedSeq
        if (isConfirmed || isVersionShared) return
        unconfirmedFrames.put(++version, receivedSeq)
        if (unconfirmedFrames.size > MAX_UNCONFIRMED_FRAMES) unconfirmedFrames.removeFirstLong()
    }

    /**
     * The next frame for the leader, or null while none is due. Offers are sent at once, everything else in batches.
     *
     * @param machineCount the number of machines in the partition
     */
    fun nextFrame(
        nowUs: Long,
        machineCount: Int,
    ): PartitionFrame? {
        if (leaderTerm == 0L || !isDue(nowUs)) return null
        lastSentAtUs = nowUs
        val includedMachines = selectNextMachines(machineCount)
        val isFinal = includedMachines.size == unacknowledged.size
        isFrameRequested = !isFinal
        if (isFinal) startFinalFrame()
        return buildFrame(nowUs, includedMachines, isFinal).also { pendingOffers.clear() }
    }

    private fun buildFrame(
        nowUs: Long,
        includedMachines: List<Machine>,
        isFinal: Boolean,
    ) = PartitionFrame(
        partition = parameters.id,
        term = parameters.term,
        ageUs = nowUs - parameters.acquiredAtUs,
        leaderTerm = leaderTerm,
        // While changes are left out, nothing may be concluded from what is not listed, also where an earlier frame was whole: it may
        // have been lost. (A task whose start that frame alone had carried was taken for never started.)
        seq = if (isFinal) receivedSeq else confirmedSeq,
        receivedSeq = receivedSeq,
        since = acknowledgedVersion,
        version = if (isFinal) version else includedMachines.last().version,
        isFinal = isFinal,
        machines = includedMachines.map { it.toMachineState() },
        offers = ArrayList(pendingOffers),
    )

    /**
     * The machines that the next frame carries. The more machines there are, the more of them change until the leader's answer: frames of
     * a fixed size would never be whole in a large partition, and only a whole frame lets the leader conclude anything from what is not
     * listed (invariant 17). At 4,000 machines of which a tenth changes until the answer, frames of a hundred never were.
     */
    private fun selectNextMachines(machineCount: Int): List<Machine> {
        val machineGroups = ((machineCount + MACHINES_PER_GROUP - 1) / MACHINES_PER_GROUP).coerceAtLeast(1)
        var attemptCount = 0
        return unacknowledged
            .asSequence()
            .take(parameters.maxMachinesPerFrame * machineGroups)
            .takeWhile { machine ->
                val isFirst = attemptCount == 0
                attemptCount += machine.attempts.size
                isFirst || attemptCount <= MAX_ATTEMPTS_PER_FRAME
            }.toList()
    }

    private fun isDue(nowUs: Long): Boolean {
        val elapsedUs = nowUs - lastSentAtUs
        if (!isFrameRequested) return elapsedUs >= IDLE_INTERVAL_US
        return elapsedUs >= BATCH_INTERVAL_US || pendingOffers.isNotEmpty()
    }

    companion object {
        /** The machines that one frame carries at most, for each [MACHINES_PER_GROUP] machines of the partition or part of that. */
        const val MAX_MACHINES_PER_FRAME = 100
        private const val MACHINES_PER_GROUP = 400

        /** At some 50 bytes each they leave a frame well below the size that is read, and a small process can hold it twice. */
        private const val MAX_ATTEMPTS_PER_FRAME = 30_000
        private const val MAX_UNCONFIRMED_FRAMES = 64

        /** How often a frame is sent while nothing changes. */
        private const val IDLE_INTERVAL_US = 800 * MILLI

        /** The shortest time between frames without offers. */
        private const val BATCH_INTERVAL_US = 100 * MILLI
    }
}
