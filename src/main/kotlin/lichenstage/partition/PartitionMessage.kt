package lichenstage.partition

import lichenstage.cluster.LeaderFrame

/** The messages of [PartitionActor]. */
sealed interface PartitionMessage {
    /** A heartbeat from a worker. The actor calls [reply] once, when the reply is decided. */
    data class HeartbeatReceived(
        val heartbeat: Heartbeat,
        val reply: (HeartbeatReply) -> Unit,
    ) : PartitionMessage

    /** A frame from the leader. */
    data class LeaderFrameReceived(
        val frame: LeaderFrame,
    ) : PartitionMessage

    /** The outcome of a direct order that this process sent as the owner of [partition] under [term]. */
    data class OrderCompleted(
        val partition: String,
        val term: Long,
        val order: DirectOrder,
        val outcome: OrderOutcome,
    ) : PartitionMessage

    /** The result of a probe that this process sent as the owner of [partition] under [term]. A null [heartbeat] means no valid reply. */
    data class ProbeCompleted(
        val partition: String,
        val term: Long,
        val probe: StatusProbe,
        val heartbeat: Heartbeat?,
    ) : PartitionMessage

    /** A range of fencing tokens that was reserved for this process as the owner of [partition] under [term]. */
    data class TokensReserved(
        val partition: String,
        val term: Long,
        val fencingTokens: LongRange,
    ) : PartitionMessage

    /** The periodic trigger for everything that depends on time alone. */
    data object Tick : PartitionMessage
}

/** The reply to a worker's heartbeat. The HTTP server writes it as soon as the actor has decided on it. */
sealed interface HeartbeatReply {
    /** The heartbeat is accepted: the reply renews the worker's lease, and the worker executes [commands] under [fencingToken]. */
    data class Accepted(
        val fencingToken: Long,
        val commands: List<Command>,
    ) : HeartbeatReply

    /** Another controller, [label], owns the partition; the worker sends its heartbeats there. */
    data class Redirect(
        val label: String,
    ) : HeartbeatReply

    /** This controller is not allowed to accept the heartbeat now; the worker tries again later. */
    data object Unavailable : HeartbeatReply
}
