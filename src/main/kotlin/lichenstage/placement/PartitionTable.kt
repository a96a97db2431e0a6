package lichenstage.placement

import lichenstage.cluster.MachineState
import lichenstage.cluster.PartitionFrame
import lichenstage.common.MILLI
import lichenstage.model.PartitionAssignment

/** What the leader knows of each partition, brought up to date by the frames of their owners. */
internal class PartitionTable(
    private val term: Long,
    private val assignment: PartitionAssignment,
    /** Called with the name of a partition before the first frame of a new owner counts. */
    private val onOwnerChange: (String) -> Unit,
) {
    /** What is known of each partition, by its name. */
    val byId = HashMap<String, PartitionState>()

    operator fun get(partition: String): PartitionState? = byId[partition]

    /**
     * The partition of a frame as of that frame, but for its machines. Null where the frame has to be ignored: it is for another term of
     * leadership, of an earlier owner or older than what is known, or it builds on a version that is not known here.
     */
    fun acceptFrame(
        frame: PartitionFrame,
        nowUs: Long,
    ): PartitionState? {
        if (frame.leaderTerm != term || assignment.zone(frame.partition) == null) return null
        val partition = stateFor(frame) ?: return null
        // A frame that builds on what was acknowledged never skips a change; one that does is of another time.
        if (frame.since > partition.version || frame.version < partition.version) return null
        if (frame.isFinal && frame.seq < partition.reflectedSeq) return null
        partition.version = frame.version
        partition.receivedSeq = frame.receivedSeq
        if (frame.isFinal) {
            // Never by a piece (invariant 17): earlier versions count there what was sent in whole frames that were lost.
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

    /** Partitions of which a frame came a short while ago. */
    fun reachablePartitions(nowUs: Long): Set<String> = byId.filterValues { nowUs - it.lastFrameAtUs < REACHABLE_TIMEOUT_US }.keys

    /** The machine in whichever partition has it, or null. */
    fun findMachine(name: String): MachineState? = byId.values.firstNotNullOfOrNull { it.machines[name] }

    /** The machines for which [condition] holds, each with its partition. */
    fun machinesWhere(condition: (MachineState) -> Boolean): List<PartitionMachine> =
        byId.flatMap { (id, partition) ->
            partition.machines.values
                .filter(condition)
                .map { PartitionMachine(id, it) }
        }

    /** The cores of all machines that are not lost; [coresOf] gives those of a machine type. */
    fun totalCores(coresOf: (String) -> Double): Double =
        byId.values.sumOf { partition -> partition.machines.values.sumOf { if (it.isLost) 0.0 else coresOf(it.typeName) } }

    private companion object {
        const val REACHABLE_TIMEOUT_US = 2500 * MILLI
    }
}
