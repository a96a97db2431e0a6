package lichenstage.partition

import it.unimi.dsi.fastutil.longs.Long2ObjectLinkedOpenHashMap
import it.unimi.dsi.fastutil.longs.LongArrayList
import lichenstage.cluster.MachineState
import lichenstage.cluster.TaskPhase
import lichenstage.model.JobRequirements
import lichenstage.model.Resources

/**
 * The partition's view of one machine, built from the heartbeats of its worker. All times are in microseconds of the controller's clock.
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
    val isSpot = heartbeat.isSpot
    var agentEpoch = heartbeat.agentEpoch

    /** The sequence number of the last message that was applied: a heartbeat, or the reply to an order or a probe. */
    var lastAppliedSequence = -1L

    /** The time until the cloud provider reclaims the spot machine, as of the last applied message; null while there is no notice. */
    var timeUntilReclaimUs: Long? = null

    /** The time at which a message of the worker was last applied. */
    var lastMessageAtUs = 0L

    /**
     * The time of the last heartbeat that the worker sent on its own, not as a reply. If a worker only replies to orders, its heartbeats
     * reach no controller and nothing renews its lease: tasks placed on the machine would be lost when the lease expires (invariant 12).
     */
    var lastHeartbeatAtUs = 0L

    /** The sequence number of the latest heartbeat in this agent epoch. Replies to orders take numbers from the same sequence. */
    var lastHeartbeatSequence = -1L

    /** The time of the last reply with status 200 to a heartbeat. The current lease cannot have started later than that. */
    var lastReplyAtUs = 0L

    /**
     * The time at which this agent epoch was first seen. The worker's lease runs from the beginning of the epoch, even if no heartbeat was
     * accepted. Without this time, a machine known only from direct orders was considered lost while it ran tasks.
     */
    var agentEpochFirstSeenAtUs = 0L

    /** The fencing token of commands to the machine: the partition's term, or a newer token that fences off earlier orders. */
    var fencingToken = 0L

    /** The highest token of this owner that the worker has shown, or 0 if none. The worker refuses all orders with a lower token. */
    var observedFencingToken = 0L

    /** Whether the worker has shown a token of this owner. From then on its task list is authoritative (invariant 3). */
    val isTokenConfirmed get() = observedFencingToken > 0

    /** Whether no message of the worker has been applied for several heartbeat intervals. */
    var isSilent = false

    /** Whether the machine's lease has expired, so that no task runs on it any more. */
    var isLost = false

    /**
     * Whether it is doubtful that commands reach the machine: a direct order could not be sent or got no reply, or a new agent epoch began.
     * A heartbeat alone does not reset this, since it does not prove that commands reach the machine (invariant 12).
     */
    var isUnresponsive = false

    /** The [ChangeLog] version of the last change of the machine that the leader can see. */
    var version = 0L
        private set

    /** The version up to which the leader has acknowledged changes of the machine. */
    private var acknowledgedVersion = 0L

    /** The numbers of the attempts that were removed and whose removal the leader has not acknowledged yet. */
    private val removedAttemptNumbers = LongArrayList()

    /** The attempts on the machine by number, including starts that no heartbeat has listed yet. */
    val attempts = Long2ObjectLinkedOpenHashMap<WorkerAttempt>()

    /** Whether a direct order was sent whose outcome has not been handled yet. */
    var hasOrderInFlight = false

    /**
     * Whether direct orders are paused because one was refused, could not be sent or got no reply. Until the next heartbeat or reply,
     * commands are sent only in replies to heartbeats.
     */
    var areDirectOrdersBlocked = false

    /** Whether a direct order may be sent to the machine now. */
    val canTakeOrders get() = isTokenConfirmed && !isLost && !isUnresponsive && !hasOrderInFlight && !areDirectOrdersBlocked

    private val imageCache = ImageCache(cacheGb)
    private val heldCapacity = HeldCapacity()

    /** The resources that the machine's tasks use; null if they have to be computed again. */
    private var usedResources: Resources? = null

    /** Records that a task with these requirements was placed or found on the machine, so that its image is in the cache. */
    fun recordImageUse(requirements: JobRequirements) = imageCache.recordUse(requirements.image, requirements.imageGb)

    /** Returns whether the image is probably in the machine's cache. */
    fun hasImage(image: String) = image in imageCache

    /** Discards the sum of the used resources, so that the next use computes it again. */
    fun invalidateUsedResources() {
        usedResources = null
    }

    /** Records that the leader-visible state of the machine changed in [newVersion]. */
    fun markChanged(newVersion: Long) {
        version = newVersion
    }

    /** Removes the attempts for which [shouldRemove] is true. Returns whether any were removed. */
    fun removeAttempts(shouldRemove: (WorkerAttempt) -> Boolean): Boolean =
        attempts.values.removeIf { attempt -> shouldRemove(attempt).also { if (it) removedAttemptNumbers.add(attempt.number) } }

    /** Records that the leader has acknowledged all changes up to the current version. */
    fun markAcknowledged() {
        acknowledgedVersion = version
        removedAttemptNumbers.clear()
    }

    /** Forgets all acknowledgements, since a new leader knows nothing of the machine. */
    fun resetAcknowledged() {
        acknowledgedVersion = 0
        removedAttemptNumbers.clear()
    }

    /** Returns the changes since the leader's last acknowledgement, in the form of a frame. */
    fun toMachineState() =
        MachineState(
            name,
            address,
            typeName,
            isSpot,
            isTokenConfirmed,
            isUnresponsive,
            isSilent,
            isLost,
            timeUntilReclaimUs,
            attempts.values.filter { it.version > acknowledgedVersion }.map { it.toTaskState() },
            removedAttemptNumbers.toList(),
        )

    /** Adds [count] tasks of [resources] to the held capacity; a negative [count] releases capacity. */
    fun adjustHold(
        resources: Resources,
        count: Int,
    ) = heldCapacity.adjust(resources, count)

    /** Resets the machine for a new agent epoch, which begins without tasks and perhaps with an empty image cache. */
    fun startAgentEpoch(newAgentEpoch: Long) {
        agentEpoch = newAgentEpoch
        lastHeartbeatSequence = -1
        removeAttempts { true }
        imageCache.clear()
        invalidateUsedResources()
    }

    /** Returns how many more tasks of [resources] fit on the machine; 0 if the requirements of a task on it are unknown. */
    fun countFreeSlots(
        resources: Resources,
        capacity: Resources,
        requirementsOf: (String) -> JobRequirements?,
    ): Int {
        // A null result is not cached: the missing requirements may arrive without a message of this machine.
        val used = usedResources ?: computeUsedResources(requirementsOf).also { usedResources = it } ?: return 0
        return (capacity - used - heldCapacity.total).countFitting(resources)
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
