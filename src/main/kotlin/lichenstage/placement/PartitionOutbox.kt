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

    fun takesNoTasks(machine: String): Boolean
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
    private val sequences = HashMap<String, Long>()
    private val sentUs = HashMap<String, Long>()
    private val due = HashSet<String>()
    private val sync = PartitionSync()
    private val pendingCommands = PendingCommands()
    private val saves = HashMap<String, List<SaveOrder>>()

    /** There is news for the partition: its next frame is due soon. */
    fun touch(partition: String) {
        due += partition
    }

    /** A new owner of the partition gets all orders anew. */
    fun newOwner(partition: String) {
        pendingCommands.removePartition(partition)
        touch(partition)
    }

    fun forget(
        partition: String,
        machine: String,
    ) = pendingCommands.removeMachine(partition, machine)

    /** What a machine has to stop and to clear now. */
    fun setTaskOrders(
        partition: String,
        machine: String,
        stops: List<AttemptOrder>,
        clears: List<AttemptOrder>,
    ) {
        if (pendingCommands.replace(partition, machine, stops, clears)) touch(partition)
    }

    /** Tasks that are to save, by partition, in place of those before. */
    fun setSaves(byPartition: Map<String, List<SaveOrder>>) {
        saves.clear()
        saves += byPartition
        due += byPartition.keys
    }

    fun isDue(
        partition: String,
        now: Long,
    ): Boolean {
        val waitedUs = now - (sentUs[partition] ?: (Long.MIN_VALUE / 2))
        return (partition in due && waitedUs >= ACK_US) || waitedUs >= HEARTBEAT_US
    }

    /** Sends a frame to a partition, with the stops and clears that its machines still need. Returns its number. */
    fun send(
        id: String,
        now: Long,
        requests: List<PlacementRequest> = emptyList(),
        starts: List<StartOrder> = emptyList(),
        releases: List<Long> = emptyList(),
    ): Long {
        val sequence = (sequences[id] ?: 0) + 1
        sequences[id] = sequence
        sentUs[id] = now
        due -= id
        val partition = source.partition(id)
        val inform = !sync.hasInitialState(id, partition, sequence)
        val (stops, clears) = pendingCommands.takeDue(id, now)
        val frame =
            PlacementFrame(
                partition = id,
                term = term,
                seq = sequence,
                ackTerm = partition?.term ?: 0,
                ackVersion = partition?.version ?: 0,
                requirements = if (inform) source.requirementsOfJobs() else emptyMap(),
                addresses = if (inform) source.addresses(id) else emptyMap(),
                requests = requests,
                starts = starts,
                releases = releases,
                stops = stops,
                clears = clears,
                cordoned = sync.cordonDelta(id, partition, now, source::takesNoTasks),
                saves = saves.remove(id).orEmpty(),
            )
        emit(LeaderEffect.SendFrame(id, frame))
        return sequence
    }

    private companion object {
        const val HEARTBEAT_US = 800 * MILLI
        const val ACK_US = 100 * MILLI
    }
}
