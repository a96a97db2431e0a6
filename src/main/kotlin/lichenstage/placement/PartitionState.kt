package lichenstage.placement

import lichenstage.cluster.MachineState

/** A machine and the name of its partition. */
data class PartitionMachine(
    val partition: String,
    val machine: MachineState,
)

/** The leader's view of one partition under one owner. A new owner starts with an empty state. */
class PartitionState(
    /** The ownership term of the owner. */
    val term: Long,
) {
    /** The version of the owner's state up to which the leader has received every change. */
    var version = 0L

    /** The sequence number up to which the effects of all frames of the leader are contained in this state. */
    var reflectedSeq = 0L

    /** The sequence number of the last leader's frame that the owner has received. */
    var receivedSeq = 0L

    /**
     * How long the owner had owned the partition when it sent its last final frame, in microseconds. It is 0 before the first final
     * frame. Until then, machines may be missing from this state although the owner knows them.
     */
    var ownershipAgeUs = 0L

    /** The time in microseconds when the last frame of the owner arrived. */
    var lastFrameAtUs = 0L

    /** The machines of the partition by name. */
    val machines = LinkedHashMap<String, MachineState>()
}

/** The name and the state of a partition. */
internal class PartitionRef(
    val id: String,
    val state: PartitionState,
)
