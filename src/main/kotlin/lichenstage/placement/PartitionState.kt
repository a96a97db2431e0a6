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
    /** The version of the owner's state up to which all is known. */
    var version = 0L

    /** The number of the leader's frame of which, like of all before it, every effect is contained in what is known here. */
    var reflectedSeq = 0L

    /** The number of the last of the leader's frames that the owner has received. */
    var receivedSeq = 0L

    /** How long the owner has had the partition, as of its last whole frame: before one, a missing machine means nothing. */
    var ownershipAgeUs = 0L

    /** When the owner's last frame came. */
    var lastFrameAtUs = 0L

    /** Its machines by name. */
    val machines = LinkedHashMap<String, MachineState>()
}

/** A partition by its name, with what is known of it. */
internal class PartitionRef(
    val id: String,
    val state: PartitionState,
)
