package lichenstage.placement

import lichenstage.cluster.AttemptOrder
import lichenstage.cluster.PlacementFrame
import lichenstage.cluster.PlacementRequest
import lichenstage.cluster.SaveOrder
import lichenstage.cluster.StartOrder
import lichenstage.common.MILLI
import lichenstage.model.JobRequirements

/** What a frame says beside requests and orders. */
internal interface OutboxSource {
    /** Null before the first frame of the partition. */
    fun partition(id: String): PartitionState?

    fun requirementsOfJobs(): Map<String, JobRequirements>

    /** Addresses of the machines of a partition. */
    fun addresses(partition: String): Map<String, String>

    fun isExcludedFromPlacement(machine: String): Boolean
}

/**
 * The frames to each partition: their numbers, when one is due, and the stops, clears and saves that the next one takes along. A
 * frame goes out soon after something has come up, and as a heartbeat.
 */
internal class PartitionOutbox(
    private val term: Long,
    private val source: OutboxSource,
    private val emit: (LeaderEffect) -> Unit,
) {
    private val lastSeqs = HashMap<String, Long>()
    private val lastSentAtUs = HashMap<String, Long>()
    private val duePartitions = HashSet<String>()
    private val partitionSync = PartitionSync()
    private val pendingCommands = PendingCommands()
    private val saves = HashMap<String, List<SaveOrder>>()

    /** There is news for the partition: its next frame is due soon. */
    fun markDue(partition: String) {
        duePartitions += partition
    }

    /** A new owner of the partition gets all orders anew. */
    fun resetForNewOwner(partition: String) {
        pendingCommands.removePartition(partition)
        markDue(partition)
    }

    fun removeMachine(
        partition: String,
        machine: String,
    ) = pendingCommands.removeMachine(partition, machine)

    /** What a machine has to stop and to clear now. */
    fun setStopsAndClears(
        partition: String,
        machine: String,
        stops: List<AttemptOrder>,
        clears: List<AttemptOrder>,
    ) {
        if (pendingCommands.replace(partition, machine, stops, clears)) markDue(partition)
    }

    /** Tasks that are to save, by partition, in place of those before. */
    fun setSaveCommands(byPartition: Map<String, List<SaveOrder>>) {
        saves.clear()
        saves += byPartition
        duePartitions += byPartition.keys
    }

    fun isDue(
        partition: String,
        nowUs: Long,
    ): Boolean {
        val sinceLastSentUs = nowUs - (lastSentAtUs[partition] ?: (Long.MIN_VALUE / 2))
        return (partition in duePartitions && sinceLastSentUs >= MIN_FRAME_INTERVAL_US) || sinceLastSentUs >= HEARTBEAT_INTERVAL_US
    }

    /** Sends a frame to a partition, with the stops and clears that its machines still need. Returns its number. */
    fun send(
        id: String,
        nowUs: Long,
        requests: List<PlacementRequest> = emptyList(),
        starts: List<StartOrder> = emptyList(),
        releases: List<Long> = emptyList(),
    ): Long {
        val seq = (lastSeqs[id] ?: 0) + 1
        lastSeqs[id] = seq
        lastSentAtUs[id] = nowUs
        duePartitions -= id
        val partition = source.partition(id)
        val needsInitialState = !partitionSync.hasInitialState(id, partition, seq)
        val (stops, clears) = pendingCommands.takeDue(id, nowUs)
        val frame =
            PlacementFrame(
                partition = id,
                term = term,
                seq = seq,
                ackTerm = partition?.term ?: 0,
                ackVersion = partition?.version ?: 0,
                requirements = if (needsInitialState) source.requirementsOfJobs() else emptyMap(),
                addresses = if (needsInitialState) source.addresses(id) else emptyMap(),
                requests = requests,
                starts = starts,
                releases = releases,
                stops = stops,
                clears = clears,
                cordoned = partitionSync.cordonedIfDue(id, partition, nowUs, source::isExcludedFromPlacement),
                saves = saves.remove(id).orEmpty(),
            )
        emit(LeaderEffect.SendFrame(id, frame))
        return seq
    }

    private companion object {
        const val HEARTBEAT_INTERVAL_US = 800 * MILLI
        const val MIN_FRAME_INTERVAL_US = 100 * MILLI
    }
}
