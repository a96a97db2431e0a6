package lichenstage.placement

import lichenstage.cluster.MachineState
import lichenstage.cluster.PartitionFrame
import lichenstage.common.MILLI
import lichenstage.model.PartitionAssignment

/** The leader's view of all partitions, updated from the frames of their owners. */
internal class PartitionTable(
    private val term: Long,
    private val assignment: PartitionAssignment,
    /** Called with the partition name before the first frame of a new owner is applied. */
    private val onOwnerChange: (String) -> Unit,
) {
    /** The latest state of each partition that has sent a frame, by partition name. */
    val byId = HashMap<String, PartitionState>()

    operator fun get(partition: String): PartitionState? = byId[partition]

    /**
     * Applies a frame, except its machines, and returns the updated state of the partition. Returns null if the frame must be ignored:
     * it is meant for another leadership term, comes from an earlier owner, is older than the current state, or contains changes since a
     * version that the leader does not have.
     */
    fun acceptFrame(
        frame: PartitionFrame,
        nowUs: Long,
    ): PartitionState? {
        if (frame.leaderTerm != term || assignment.zoneOf(frame.partition) == null) return null
        val partition = stateFor(frame) ?: return null
        // The owner sends the changes since the version that the leader has acknowledged, so a frame that skips a change is outdated.
        if (frame.since > partition.version || frame.version < partition.version) return null
        if (frame.isFinal && frame.seq < partition.reflectedSeq) return null
        partition.version = frame.version
        partition.receivedSeq = frame.receivedSeq
        if (frame.isFinal) {
            // A partial frame never raises these values (invariant 17). In earlier versions of the service, the sequence number in a
            // partial frame also covers effects that were sent only in final frames which were lost.
            partition.reflectedSeq = frame.seq
            partition.ownershipAgeUs = frame.ageUs
        }
        partition.lastFrameAtUs = nowUs
        return partition
    }

    private fun stateFor(frame: PartitionFrame): PartitionState? {
        val current = byId[frame.partition]
        if (current != null && frame.term < current.term) return null
        if (current != null && frame.term == current.term) return current
        onOwnerChange(frame.partition)
        return PartitionState(frame.term).also { byId[frame.partition] = it }
    }

    /** Returns the names of the partitions whose last frame is recent. */
    fun reachablePartitions(nowUs: Long): Set<String> = byId.filterValues { nowUs - it.lastFrameAtUs < REACHABLE_TIMEOUT_US }.keys

    /** Returns the state of a machine in any partition, or null if no partition lists it. */
    fun findMachine(name: String): MachineState? = byId.values.firstNotNullOfOrNull { it.machines[name] }

    /** Returns the machines of all partitions that satisfy [condition]. */
    fun machinesWhere(condition: (MachineState) -> Boolean): List<PartitionMachine> =
        byId.flatMap { (id, partition) ->
            partition.machines.values
                .filter(condition)
                .map { PartitionMachine(id, it) }
        }

    /** Returns the total number of cores of all machines that are not lost. [coresOf] returns the cores of a machine type. */
    fun totalCores(coresOf: (String) -> Double): Double =
        byId.values.sumOf { partition -> partition.machines.values.sumOf { if (it.isLost) 0.0 else coresOf(it.typeName) } }

    private companion object {
        const val REACHABLE_TIMEOUT_US = 2500 * MILLI
    }
}
