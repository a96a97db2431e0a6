package lichenstage.partition

import it.unimi.dsi.fastutil.longs.Long2ObjectLinkedOpenHashMap
import it.unimi.dsi.fastutil.longs.LongArrayList
import lichenstage.cluster.MachineState
import lichenstage.cluster.TaskPhase
import lichenstage.model.JobRequirements
import lichenstage.model.Resources

/**
 * A machine of a partition, as its worker's heartbeats describe it. All times are in microseconds of the controller's clock.
 *
 * @property name the machine's name
 */
internal class Machine(
    val name: String,
    heartbeat: Heartbeat,
    cacheGb: Double,
) {
    var address = heartbeat.address
    val typeName = heartbeat.typeName
    val spot = heartbeat.spot
    var agentEpoch = heartbeat.agentEpoch

    /** The sequence number of the last message that was applied, a heartbeat of its own or the answer to an order. */
    var lastAppliedSequence = -1L

    /** How long until the cloud takes the spot instance back; null while there is no notice. */
    var recallUs: Long? = null

    /** When a message of the worker was last applied. */
    var lastMessageAtUs = 0L

    /**
     * When the worker last sent a heartbeat by itself. While it only answers orders, its heartbeats reach no controller and nothing renews
     * its lease: tasks that were placed there would be lost with it (invariant 12).
     */
    var lastHeartbeatAtUs = 0L

    /** The latest heartbeat of its own in this agent epoch; the answers to orders have numbers between those of heartbeats. */
    var lastHeartbeatSequence = -1L

    /** When a heartbeat was last answered with 200: its lease can't last longer than from here. */
    var lastReplyAtUs = 0L

    /**
     * When this agent epoch was first seen. Its lease runs from the beginning of the epoch, whether or not a heartbeat was ever answered:
     * without this, a machine known only from direct orders was considered lost while it ran tasks.
     */
    var agentEpochFirstSeenAtUs = 0L

    /** The token under which it is commanded: the partition's term, or a newer one that fences off earlier orders. */
    var fencingToken = 0L

    /** The highest token of this owner that it has shown; 0 where none. It refuses everything sent under a lower one. */
    var observedFencingToken = 0L

    /** The worker has shown a token of this owner: its task list is the truth (invariant 3). */
    val isTokenConfirmed get() = observedFencingToken > 0

    /** Several of its heartbeats are overdue. */
    var isSilent = false

    /** Its lease has expired: nothing runs on it any more. */
    var isLost = false

    /** An order was not answered since it last answered one: a heartbeat does not prove that commands reach it (invariant 12). */
    var isUnresponsive = false

    /** The version of the [ChangeLog] that last changed what the leader sees of it. */
    var version = 0L
        private set

    /** The version up to which the leader has acknowledged it. */
    private var acknowledgedVersion = 0L

    /** Attempts that it no longer lists, until the leader has acknowledged that. */
    private val removedAttemptNumbers = LongArrayList()
    val attempts = Long2ObjectLinkedOpenHashMap<WorkerAttempt>()
    var hasOrderInFlight = false

    /** After an order without an answer, commands only go in answers to heartbeats until a heartbeat has come. */
    var areDirectOrdersBlocked = false

    /** A direct order may be sent to it now. */
    val canTakeOrders get() = isTokenConfirmed && !isLost && !isUnresponsive && !hasOrderInFlight && !areDirectOrdersBlocked

    private val imageCache = ImageCache(cacheGb)
    private val heldCapacity = HeldCapacity()

    /** What its tasks use; null where it has to be counted again. */
    private var usedResources: Resources? = null

    /** Records that a task of these requirements was placed or found here. */
    fun recordImageUse(requirements: JobRequirements) = imageCache.recordUse(requirements.image, requirements.imageGb)

    /** Whether the image is most likely in its cache. */
    fun hasImage(image: String) = image in imageCache

    /** Has what its tasks use counted again. */
    fun invalidateUsedResources() {
        usedResources = null
    }

    /** Records that what the leader sees of it has changed as of [newVersion]. */
    fun markChanged(newVersion: Long) {
        version = newVersion
    }

    /** Removes the attempts that [shouldRemove] holds for; true where there were any. */
    fun removeAttempts(shouldRemove: (WorkerAttempt) -> Boolean): Boolean =
        attempts.values.removeIf { attempt -> shouldRemove(attempt).also { if (it) removedAttemptNumbers.add(attempt.number) } }

    /** The leader has acknowledged all of the current version. */
    fun markAcknowledged() {
        acknowledgedVersion = version
        removedAttemptNumbers.clear()
    }

    /** A new leader knows nothing of the machine. */
    fun resetAcknowledged() {
        acknowledgedVersion = 0
        removedAttemptNumbers.clear()
    }

    /** The changes since the leader's last acknowledgement, as a frame carries them. */
    fun toMachineState() =
        MachineState(
            name,
            address,
            typeName,
            spot,
            isTokenConfirmed,
            isUnresponsive,
            isSilent,
            isLost,
            recallUs,
            attempts.values.filter { it.version > acknowledgedVersion }.map { it.toTaskState() },
            removedAttemptNumbers.toList(),
        )

    /** Holds capacity for [count] more tasks, or fewer where it is negative. */
    fun adjustHold(
        resources: Resources,
        count: Int,
    ) = heldCapacity.adjust(resources, count)

    /** A new agent epoch begins with an empty machine; its cache may be empty too. */
    fun startAgentEpoch(newAgentEpoch: Long) {
        agentEpoch = newAgentEpoch
        lastHeartbeatSequence = -1
        removeAttempts { true }
        imageCache.clear()
        invalidateUsedResources()
    }

    /** How many more tasks of [resources] it takes; none where the size of a task on it is unknown. */
    fun countFreeSlots(
        resources: Resources,
        capacity: Resources,
        requirementsOf: (String) -> JobRequirements?,
    ): Int {
        // Not kept where a task's size is unknown, since that may become known without a message of this machine.
        val used = usedResources ?: computeUsedResources(requirementsOf).also { usedResources = it } ?: return 0
        return (capacity - used - heldCapacity.total).fits(resources)
    }

    private fun computeUsedResources(requirementsOf: (String) -> JobRequirements?): Resources? {
        var cores = 0.0
        var gpus = 0.0
        var memGb = 0.0
        for (attempt in attempts.values) {
            if (attempt.phase == TaskPhase.ENDED) continue
            val resources = requirementsOf(attempt.job)?.resources ?: return null
            cores += resources.cores
            gpus += resources.gpus
            memGb += resources.memGb
        }
        return Resources(cores, gpus, memGb)
    }
}
