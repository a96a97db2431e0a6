package lichenstage.partition

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import lichenstage.authority.Authority
import lichenstage.cluster.PartitionFrame
import lichenstage.common.Clock
import lichenstage.common.Mailbox

/**
 * The actor that runs the partitions of this process.
 *
 * It replies to heartbeats and sends orders, probes and frames only while the process is authorized to act for the partition. Orders,
 * probes and frames that become due without authorization are sent once the process is authorized again.
 *
 * @property sendToLeader sends a frame to the leader
 */
class PartitionActor(
    private val partitions: OwnedPartitions,
    private val clock: Clock,
    scope: CoroutineScope,
    workers: WorkerClient,
    authority: Authority,
    private val sendToLeader: (PartitionFrame) -> Unit,
) {
    private val mailbox = Mailbox("partition", scope, ::handle, tryDrop = ::tryDrop)
    private val dispatcher = WorkerDispatcher(scope, workers, authority, mailbox::tell)

    init {
        scope.launch {
            while (isActive) {
                delay(TICK_INTERVAL_MS)
                mailbox.tell(PartitionMessage.Tick)
            }
        }
    }

    /** The number of machines in all partitions. */
    val machineCount get() = partitions.all.sumOf { it.machineCount }

    /** The number of starts whose direct order got no reply and which a worker may still execute. */
    val indeterminateStartCount get() = partitions.all.sumOf { it.indeterminateStarts().count() }

    /** The time at which the oldest of these starts was sent, in microseconds; null if there are none. */
    val oldestIndeterminateStartAtUs
        get() = partitions.all.mapNotNull { partition -> partition.indeterminateStarts().minOfOrNull { it.directStartAtUs } }.minOrNull()

    /** Adds a message to the actor's mailbox. */
    fun tell(message: PartitionMessage) = mailbox.tell(message)

    /**
     * Returns whether a full mailbox may drop [message]. Heartbeats, frames and ticks may be dropped, because their senders repeat them. A
     * dropped heartbeat gets the reply [HeartbeatReply.Unavailable].
     */
    private fun tryDrop(message: PartitionMessage): Boolean {
        if (message is PartitionMessage.HeartbeatReceived) message.reply(HeartbeatReply.Unavailable)
        return message is PartitionMessage.HeartbeatReceived || message is PartitionMessage.LeaderFrameReceived ||
            message is PartitionMessage.Tick
    }

    private fun handle(message: PartitionMessage) {
        val nowUs = clock.now()
        when (message) {
            is PartitionMessage.HeartbeatReceived -> onHeartbeat(message, nowUs)
            is PartitionMessage.LeaderFrameReceived -> onLeaderFrame(message, nowUs)
            is PartitionMessage.OrderCompleted -> onOrderCompleted(message, nowUs)
            is PartitionMessage.ProbeCompleted -> onProbeCompleted(message, nowUs)
            is PartitionMessage.TokensReserved -> onTokensReserved(message)
            PartitionMessage.Tick -> onTick(nowUs)
        }
    }

    private fun onHeartbeat(
        message: PartitionMessage.HeartbeatReceived,
        nowUs: Long,
    ) {
        val heartbeat = message.heartbeat
        val id = partitions.partitionIdOf(heartbeat) ?: return message.reply(HeartbeatReply.Unavailable)
        if (partitions[id] == null) partitions.updateOwnership(nowUs)
        val partition = partitions[id]
        if (partition != null && partitions.isAuthorized(partition)) {
            message.reply(toReply(partition.onHeartbeat(heartbeat, nowUs)))
            sendDueOrdersAndFrame(partition, nowUs)
        } else {
            message.reply(partitions.remoteOwnerLabel(id)?.let(HeartbeatReply::Redirect) ?: HeartbeatReply.Unavailable)
        }
    }

    private fun toReply(outcome: HeartbeatOutcome): HeartbeatReply =
        when (outcome) {
            is HeartbeatOutcome.Accepted -> HeartbeatReply.Accepted(outcome.fencingToken, outcome.commands)
            HeartbeatOutcome.Superseded, HeartbeatOutcome.Withheld -> HeartbeatReply.Unavailable
        }

    private fun onLeaderFrame(
        message: PartitionMessage.LeaderFrameReceived,
        nowUs: Long,
    ) {
        partitions.updateOwnership(nowUs)
        val partition = partitions[message.frame.partition] ?: return
        partition.onLeaderFrame(message.frame, nowUs)
        sendDueOrdersAndFrame(partition, nowUs)
    }

    private fun onOrderCompleted(
        message: PartitionMessage.OrderCompleted,
        nowUs: Long,
    ) {
        val partition = partitions.findUnderTerm(message.partition, message.term) ?: return
        partition.onOrderOutcome(message.order, message.outcome, nowUs)
        sendDueOrdersAndFrame(partition, nowUs)
    }

    private fun onProbeCompleted(
        message: PartitionMessage.ProbeCompleted,
        nowUs: Long,
    ) {
        val partition = partitions.findUnderTerm(message.partition, message.term) ?: return
        partition.onProbeResult(message.probe, message.heartbeat, nowUs)
        sendDueOrdersAndFrame(partition, nowUs)
    }

    private fun onTokensReserved(message: PartitionMessage.TokensReserved) {
        partitions.findUnderTerm(message.partition, message.term)?.addReservedTokens(message.fencingTokens)
    }

    private fun onTick(nowUs: Long) {
        partitions.updateOwnership(nowUs)
        for (partition in partitions.all) {
            partition.tick(nowUs)
            if (!partitions.isAuthorized(partition)) continue
            if (partition.shouldReserveTokens(nowUs)) dispatcher.reserveTokens(partition)
            partition.nextProbes(nowUs, dispatcher.availableConnections / 2).forEach { dispatcher.sendProbe(partition, it) }
            sendDueOrdersAndFrame(partition, nowUs)
        }
    }

    /** Sends the due direct orders and the due frame if the process is authorized to act for the partition. */
    private fun sendDueOrdersAndFrame(
        partition: PartitionCore,
        nowUs: Long,
    ) {
        if (!partitions.isAuthorized(partition)) return
        partition.nextDirectOrders(nowUs, dispatcher.availableConnections).forEach { dispatcher.sendOrder(partition, it) }
        partition.nextFrame(nowUs)?.let(sendToLeader)
    }

    private companion object {
        const val TICK_INTERVAL_MS = 250L
    }
}
