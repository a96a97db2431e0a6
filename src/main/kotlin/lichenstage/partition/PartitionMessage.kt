package lichenstage.partition

import lichenstage.cluster.PlacementFrame

/** The messages of [PartitionActor]. */
sealed interface PartitionMessage {
    /** A worker's heartbeat; [reply] is called once, when its answer is to be written. */
    data class HeartbeatReceived(
        val heartbeat: Heartbeat,
        val reply: (HeartbeatReply) -> Unit,
    ) : PartitionMessage

    /** A frame of the leader has come. */
    data class LeaderFrameReceived(
        val frame: PlacementFrame,
    ) : PartitionMessage

    /** The outcome of a direct order of the partition's owner under [term]. */
    data class OrderCompleted(
        val partition: String,
        val term: Long,
        val order: DirectOrder,
        val outcome: OrderOutcome,
    ) : PartitionMessage

    /** The result of a probe of the partition's owner under [term]; [heartbeat] is null where there was none. */
    data class ProbeCompleted(
        val partition: String,
        val term: Long,
        val probe: StatusProbe,
        val heartbeat: Heartbeat?,
    ) : PartitionMessage

    /** Fencing tokens were reserved for the partition's owner under [term]. */
    data class TokensReserved(
        val partition: String,
        val term: Long,
        val fencingTokens: LongRange,
    ) : PartitionMessage

    /** Time has passed. */
    data object Tick : PartitionMessage
}

/** The answer to a worker's heartbeat, decided at the moment when it is written. */
sealed interface HeartbeatReply {
    /** The heartbeat is accepted: it renews the worker's lease, and the worker executes [commands] under [fencingToken]. */
    data class Accepted(
        val fencingToken: Long,
        val commands: List<Command>,
    ) : HeartbeatReply

    /** The controller [label] owns the partition. */
    data class Redirect(
        val label: String,
    ) : HeartbeatReply

    /** This controller may not answer now; the worker is to try again. */
    data object Unavailable : HeartbeatReply
}
