package lichenstage.placement

import lichenstage.cluster.MachineState

/** A machine with the partition that it is in. */
data class PartitionMachine(
    val partition: String,
    val machine: MachineState,
)

/** What the leader knows of one partition under one owner. */
class PartitionState(
    /** The owner's term. */
    val term: Long,
) {
    /** Up to which of the owner's versions all is known. */
    var version = 0L

    /** The leader's frame up to which the partition has told all that came of it. */
    var seq = 0L

    /** The last of the leader's frames that it has taken. */
    var receivedSeq = 0L

    /** How long it has had its owner, as of the last frame that left nothing out: before one, a missing machine means nothing. */
    var ageUs = 0L

    /** When it was last heard. */
    var lastFrameUs = 0L

    /** Its machines by name. */
    val machines = LinkedHashMap<String, MachineState>()
}
