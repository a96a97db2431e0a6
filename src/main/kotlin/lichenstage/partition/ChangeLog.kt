package lichenstage.partition

import it.unimi.dsi.fastutil.longs.Long2LongLinkedOpenHashMap
import lichenstage.cluster.Offer
import lichenstage.cluster.PartitionFrame
import lichenstage.common.MILLI

/**
 * The changes of a partition's machines that the leader has not acknowledged, and the frames that carry them (invariant 17).
 *
 * Each change gets the next version of the partition. A frame is *final* if it carries all unacknowledged changes, otherwise it is
 * *partial*. Only from a final frame may the leader conclude that something does not exist because the frame does not list it.
 *
 * The leader numbers its own frames. Each frame of the partition states the number of the last leader frame whose effects the leader
 * knows completely once it has this frame.
 */
internal class ChangeLog(
    private val parameters: PartitionParameters,
) {
    /** The machines with unacknowledged changes, ordered by their last change. */
    private val unacknowledged = LinkedHashSet<Machine>()
    private val pendingOffers = ArrayList<Offer>()
    private var version = 0L
    private var acknowledgedVersion = 0L
    private var leaderTerm = 0L

    /** The number of the newest leader frame that this partition has received. */
    private var receivedSeq = 0L

    /** The number of the last leader frame whose effects the leader is known to have received completely. */
    private var confirmedSeq = 0L

    /** For each final frame that is not acknowledged, by the frame's version: the last leader frame whose effects it carries completely. */
    private val unconfirmedFrames = Long2LongLinkedOpenHashMap()
    private var isFrameRequested = true
    private var lastSentAtUs = Long.MIN_VALUE / 2

    /** The version that the next change will get. */
    val nextVersion get() = version + 1

    /** Records a change of [machine] under [nextVersion]. */
    fun record(machine: Machine) {
        machine.markChanged(++version)
        unacknowledged.remove(machine)
        unacknowledged.add(machine)
        isFrameRequested = true
    }

    /** Drops the changes of a machine that the partition has removed. */
    fun remove(machine: Machine) {
        unacknowledged -= machine
    }

    /** Makes a frame due soon, even if no machine has changed. */
    fun requestFrame() {
        isFrameRequested = true
    }

    /** Adds an offer to the next frame. */
    fun addOffer(offer: Offer) {
        pendingOffers += offer
    }

    /** Returns whether a leader frame is newer than all frames received so far. Older frames are ignored (invariant 8). */
    fun isNewerFrame(
        frameTerm: Long,
        seq: Long,
    ): Boolean = frameTerm > leaderTerm || (frameTerm == leaderTerm && seq > receivedSeq)

    /** Returns whether a frame with this term comes from a newer leader than all frames so far. */
    fun isNewLeader(frameTerm: Long) = frameTerm > leaderTerm

    /** Records that the leader frame with the number [seq] was received. */
    fun markReceived(seq: Long) {
        receivedSeq = seq
    }

    /** Begins the term of a new leader. The new leader knows nothing of the partition yet, so all machines are sent again. */
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

    /** Records that the leader has acknowledged all versions up to [upToVersion]. */
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
     * Records that the leader has reached exactly the version [leaderVersion].
     *
     * This proves that a final frame has arrived only if [leaderVersion] equals that frame's version. A higher version proves nothing: the
     * leader may have reached it by partial frames, which leave out machines that have changed again.
     */
    private fun confirmFinalFrame(leaderVersion: Long) {
        if (!unconfirmedFrames.containsKey(leaderVersion)) return
        confirmedSeq = maxOf(confirmedSeq, unconfirmedFrames.get(leaderVersion))
        while (!unconfirmedFrames.isEmpty() && unconfirmedFrames.firstLongKey() <= leaderVersion) unconfirmedFrames.removeFirstLong()
    }

    /**
     * Assigns a new version to the final frame, unless the leader has already confirmed [receivedSeq] or the current version belongs to an
     * earlier final frame with the same [receivedSeq]. No partial frame ends with the new version, so the leader's acknowledgement of this
     * version proves that the final frame has arrived.
     */
    private fun assignFinalFrameVersion() {
        val isConfirmed = receivedSeq == confirmedSeq
        val isVersionShared = unconfirmedFrames.containsKey(version) && unconfirmedFrames.get(version) == receivedSeq
        if (isConfirmed || isVersionShared) return
        unconfirmedFrames.put(++version, receivedSeq)
        if (unconfirmedFrames.size > MAX_UNCONFIRMED_FRAMES) unconfirmedFrames.removeFirstLong()
    }

    /**
     * Returns the next frame for the leader, or null if none is due. Offers are sent at once, everything else in batches.
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
        if (isFinal) assignFinalFrameVersion()
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
        // A partial frame may not claim more than the leader has confirmed, even if an earlier frame was final: that frame may be lost.
        // Otherwise the leader takes a task for never started if only the lost frame carried its start.
        seq = if (isFinal) receivedSeq else confirmedSeq,
        receivedSeq = receivedSeq,
        since = acknowledgedVersion,
        version = if (isFinal) version else includedMachines.last().version,
        isFinal = isFinal,
        machines = includedMachines.map { it.toMachineState() },
        offers = ArrayList(pendingOffers),
    )

    /**
     * Returns the machines that the next frame carries.
     *
     * The limit grows with the number of machines. The more machines a partition has, the more of them change before the leader
     * acknowledges a frame, so frames of a fixed size would never be final in a large partition. Without final frames the leader cannot
     * conclude anything from what is not listed (invariant 17). With 4,000 machines, a tenth of which changed before each acknowledgement,
     * frames of 100 machines were never final.
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
        /** The maximum number of machines in a frame, per group of up to [MACHINES_PER_GROUP] machines in the partition. */
        const val MAX_MACHINES_PER_FRAME = 100
        private const val MACHINES_PER_GROUP = 400

        /**
         * The maximum number of attempts in a frame of several machines. At about 50 bytes per attempt, the frame stays well below the size
         * limit of the receiver, and a process with little memory can hold it twice.
         */
        private const val MAX_ATTEMPTS_PER_FRAME = 30_000
        private const val MAX_UNCONFIRMED_FRAMES = 64

        /** The time between two frames while nothing changes, in microseconds. */
        private const val IDLE_INTERVAL_US = 800 * MILLI

        /** The shortest time between two frames without offers, in microseconds. */
        private const val BATCH_INTERVAL_US = 100 * MILLI
    }
}
