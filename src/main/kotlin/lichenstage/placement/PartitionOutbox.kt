package lichenstage.placement

import lichenstage.cluster.AttemptCommand
import lichenstage.cluster.CheckpointStopCommand
import lichenstage.cluster.LeaderFrame
import lichenstage.cluster.PlacementRequest
import lichenstage.cluster.StartCommand
import lichenstage.common.MILLI
import lichenstage.model.JobRequirements

/** The parts of the leader's state that a [PartitionOutbox] reads to build its frames. */
internal interface OutboxSource {
    /** Returns the state of a partition, or null before its first frame. */
    fun partition(id: String): PartitionState?

    /** Returns the requirements of all jobs, by job id. */
    fun requirementsOfJobs(): Map<String, JobRequirements>

    /** Returns the addresses of the recorded machines of a partition, by machine name. */
    fun addresses(partition: String): Map<String, String>

    /** Returns whether the completion of a job is recorded. */
    fun isJobComplete(job: String): Boolean

    /** Whether the partition must place no more tasks on the machine. */
    fun isExcludedFromPlacement(machine: String): Boolean
}

/**
 * The leader's outgoing frames to the partitions: their sequence numbers, the times at which they are due, and the stops, clears and
 * checkpoint stops that they must contain. A frame is sent soon after something has changed. Without changes, frames are sent at a regular
 * interval, to show that the leader is alive.
 */
internal class PartitionOutbox(
    private val term: Long,
    private val source: OutboxSource,
    private val emit: (LeaderEffect) -> Unit,
) {
    private val lastSeqByPartition = HashMap<String, Long>()
    private val lastSentAtUsByPartition = HashMap<String, Long>()
    private val duePartitions = HashSet<String>()
    private val partitionSync = PartitionSync()
    private val pendingCommands = PendingCommands()
    private val checkpointStopsByPartition = HashMap<String, List<CheckpointStopCommand>>()

    /** Makes the next frame to the partition due soon, because there is something to send. */
    fun markDue(partition: String) {
        duePartitions += partition
    }

    /** Handles a change of the partition's owner: the new owner receives all stops and clears again. */
    fun resetForNewOwner(partition: String) {
        pendingCommands.removePartition(partition)
        markDue(partition)
    }

    /** Drops the stops and clears for a machine that was terminated. */
    fun removeMachine(
        partition: String,
        machine: String,
    ) = pendingCommands.removeMachine(partition, machine)

    /** Replaces the stops and clears that a machine needs. */
    fun setStopsAndClears(
        partition: String,
        machine: String,
        stops: List<AttemptCommand>,
        clears: List<AttemptCommand>,
    ) {
        if (pendingCommands.replace(partition, machine, stops, clears)) markDue(partition)
    }

    /** Replaces the commands to save a checkpoint and stop, by partition. They are sent with the next frame to each partition. */
    fun setCheckpointStops(byPartition: Map<String, List<CheckpointStopCommand>>) {
        checkpointStopsByPartition.clear()
        checkpointStopsByPartition += byPartition
        duePartitions += byPartition.keys
    }

    /** Whether a frame to the partition should be sent at [nowUs]. */
    fun isDue(
        partition: String,
        nowUs: Long,
    ): Boolean {
        val sinceLastSentUs = nowUs - (lastSentAtUsByPartition[partition] ?: (Long.MIN_VALUE / 2))
        return (partition in duePartitions && sinceLastSentUs >= MIN_FRAME_INTERVAL_US) || sinceLastSentUs >= MAX_FRAME_INTERVAL_US
    }

    /**
     * Sends a frame to partition [id] with the given requests, starts and releases, and with the stops, clears and checkpoint stops that
     * its machines still need. Returns the sequence number of the frame.
     */
    fun send(
        id: String,
        nowUs: Long,
        requests: List<PlacementRequest> = emptyList(),
        starts: List<StartCommand> = emptyList(),
        releases: List<Long> = emptyList(),
        avoidedMachines: Map<String, Set<String>> = emptyMap(),
    ): Long {
        val seq = (lastSeqByPartition[id] ?: 0) + 1
        lastSeqByPartition[id] = seq
        lastSentAtUsByPartition[id] = nowUs
        duePartitions -= id
        val partition = source.partition(id)
        val needsInitialState = !partitionSync.hasInitialState(id, partition, seq)
        val (stops, clears) = pendingCommands.takeDue(id, nowUs)
        val frame =
            LeaderFrame(
                partition = id,
                term = term,
                seq = seq,
                acknowledgedTerm = partition?.term ?: 0,
                acknowledgedVersion = partition?.version ?: 0,
                requirements = if (needsInitialState) source.requirementsOfJobs() else emptyMap(),
                addresses = if (needsInitialState) source.addresses(id) else emptyMap(),
                requests = requests,
                starts = starts,
                releases = releases,
                stops = stops,
                clears = clears,
                cordoned = partitionSync.takeCordonedIfDue(id, partition, nowUs, source::isExcludedFromPlacement),
                checkpointStops = checkpointStopsByPartition.remove(id).orEmpty(),
                avoidedMachines = avoidedMachines,
                completeJobs = clears.mapTo(HashSet()) { it.taskId.substringBefore('/') }.filterTo(HashSet(), source::isJobComplete),
            )
        emit(LeaderEffect.SendFrame(id, frame))
        return seq
    }

    private companion object {
        const val MAX_FRAME_INTERVAL_US = 800 * MILLI
        const val MIN_FRAME_INTERVAL_US = 100 * MILLI
    }
}
