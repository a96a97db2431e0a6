package lichenstage.partition

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import lichenstage.authority.Authority
import lichenstage.cluster.PartitionFrame
import lichenstage.cluster.PlacementFrame
import lichenstage.common.Clock
import lichenstage.common.Mailbox
import lichenstage.config.Settings
import lichenstage.jobs.JobReplica
import lichenstage.model.MachineLimits
import org.slf4j.LoggerFactory

/** The answer to a worker, decided at the moment it is written. */
sealed interface HeartbeatReply {
    /** 200 with the token and commands. */
    data class Accepted(
        val fencingToken: Long,
        val commands: List<Command>,
    ) : HeartbeatReply

    /** 421: another controller owns the partition. */
    data class Redirect(
        val label: String,
    ) : HeartbeatReply

    data object Unavailable : HeartbeatReply
}

/** What the actor of partitions is told. */
sealed interface PartitionMessage {
    /** A worker's report, to be answered. */
    data class HeartbeatReceived(
        val heartbeat: Heartbeat,
        val answer: (HeartbeatReply) -> Unit,
    ) : PartitionMessage

    /** A frame of the leader. */
    data class LeaderFrameReceived(
        val frame: PlacementFrame,
    ) : PartitionMessage

    /** What became of a direct order. */
    data class OrderCompleted(
        val partition: String,
        val term: Long,
        val order: DirectOrder,
        val outcome: OrderOutcome,
    ) : PartitionMessage

    /** What a probe brought. */
    data class ProbeCompleted(
        val partition: String,
        val term: Long,
        val probe: StatusProbe,
        val heartbeat: Heartbeat?,
    ) : PartitionMessage

    /** Tokens were reserved for the partition's owner. */
    data class TokensReserved(
        val partition: String,
        val term: Long,
        val fencingTokens: LongRange,
    ) : PartitionMessage

    data object Tick : PartitionMessage
}

/** Holds the partitions that this process owns. */
class PartitionActor(
    private val settings: Settings,
    private val authority: Authority,
    private val clock: Clock,
    private val scope: CoroutineScope,
    private val workers: WorkerClient,
    private val limitsOf: (String) -> MachineLimits?,
    private val replica: JobReplica,
    private val journal: OrderJournal,
    private val toLeader: (PartitionFrame) -> Unit,
) {
    private val log = LoggerFactory.getLogger("lichenstage.partition")
    private val assignment = settings.assignment
    private val partitions = HashMap<String, PartitionCore>()
    private val mailbox = Mailbox("partition", scope, ::handle, shed = ::shed)

    init {
        scope.launch {
            while (isActive) {
                delay(TICK_MS)
                mailbox.tell(PartitionMessage.Tick)
            }
        }
    }

    /** Takes a message. */
    fun tell(message: PartitionMessage) = mailbox.tell(message)

    val machineCount get() = partitions.values.sumOf { it.machineCount }

    /** Reports and frames come again. */
    private fun shed(message: PartitionMessage): Boolean {
        if (message is PartitionMessage.HeartbeatReceived) message.answer(HeartbeatReply.Unavailable)
        return message is PartitionMessage.HeartbeatReceived || message is PartitionMessage.LeaderFrameReceived ||
            message is PartitionMessage.Tick
    }

    private fun handle(message: PartitionMessage) {
        val now = clock.now()
        when (message) {
            is PartitionMessage.HeartbeatReceived -> {
                heartbeatReceived(message, now)
            }

            is PartitionMessage.LeaderFrameReceived -> {
                refresh(now)
                partitions[message.frame.partition]?.let {
                    it.onLeaderFrame(message.frame, now)
                    pump(it, now)
                }
            }

            is PartitionMessage.OrderCompleted -> {
                current(message.partition, message.term)?.let {
                    it.onOrderOutcome(message.order, message.outcome, now)
                    pump(it, now)
                }
            }

            is PartitionMessage.ProbeCompleted -> {
                current(message.partition, message.term)?.let {
                    it.onProbeResult(message.probe, message.heartbeat, now)
                    pump(it, now)
                }
            }

            is PartitionMessage.TokensReserved -> {
                current(message.partition, message.term)?.addReservedTokens(message.fencingTokens)
            }

            PartitionMessage.Tick -> {
                tick(now)
            }
        }
    }

    private fun tick(now: Long) {
        refresh(now)
        for (partition in partitions.values) {
            partition.tick(now)
            if (!isAuthorized(partition)) continue
            reserveTokens(partition, now)
            partition.nextProbes(now, workers.free / 2).forEach { probe(partition, it) }
            pump(partition, now)
        }
    }

    private fun current(
        partition: String,
        term: Long,
    ) = partitions[partition]?.takeIf { it.term == term }

    /**
     * Owning the partition is not enough: an answer renews a lease, and must not keep alive what a user was told is cancelled
     * (invariant 15).
     */
    private fun isAuthorized(partition: PartitionCore) =
        authority.owning(partition.id)?.term == partition.term && replica.current(clock.now())

    /** Nothing is ordered or offered without authority; what is due then goes out when it is back. */
    private fun pump(
        partition: PartitionCore,
        now: Long,
    ) {
        if (!isAuthorized(partition)) return
        partition.nextDirectOrders(now, workers.free).forEach { send(partition, it) }
        partition.nextFrame(now)?.let(toLeader)
    }

    /** Follows the ownership of keys. A partition whose authority only pauses keeps what it knows. */
    private fun refresh(now: Long) {
        for (id in assignment.partitions) {
            val owner = authority.owner(id)
            val partition = partitions[id]
            if (partition != null && owner != null && owner.term > partition.term) partitions.remove(id)
            val mine = authority.owning(id) ?: continue
            if (partitions[id]?.term != mine.term) {
                partitions[id] =
                    PartitionCore(
                        id,
                        assignment.zone(id)!!,
                        mine.term,
                        settings.workerLeaseUs,
                        settings.heartbeatIntervalUs,
                        now,
                        jobEnds = replica,
                        events = { journal.add(id, mine.term, it) },
                        limitsOf = limitsOf,
                    )
                log.info("owning {} under term {}", id, mine.term)
            }
        }
    }

    /** Newer tokens are at hand long before they are needed, but not in the seconds in which keys change hands. */
    private fun reserveTokens(
        partition: PartitionCore,
        now: Long,
    ) {
        if (!partition.tokenReservationDue(now)) return
        scope.launch {
            val fencingTokens = authority.reserveTokens(partition.id, TOKENS, partition.lacksTokens) ?: return@launch
            mailbox.tell(PartitionMessage.TokensReserved(partition.id, partition.term, fencingTokens))
        }
    }

    /** How many starts are under way whose order got no answer, and since when the oldest is. */
    val unansweredStarts get() = partitions.values.sumOf { it.indeterminateStarts().count() }
    val oldestUnansweredUs get() =
        partitions.values
            .mapNotNull { core ->
                core.indeterminateStarts().minOfOrNull { it.startOrderedUs }
            }.minOrNull()

    private fun heartbeatReceived(
        message: PartitionMessage.HeartbeatReceived,
        now: Long,
    ) {
        val heartbeat = message.heartbeat
        val id = assignment.partitionOf(heartbeat.machine, heartbeat.zone)
        if (id == null) {
            message.answer(HeartbeatReply.Unavailable)
            return
        }
        if (partitions[id] == null) refresh(now)
        val partition = partitions[id]
        if (partition != null && isAuthorized(partition)) {
            when (val outcome = partition.onHeartbeat(heartbeat, now)) {
                is HeartbeatOutcome.Accepted -> message.answer(HeartbeatReply.Accepted(outcome.fencingToken, outcome.commands))
                HeartbeatOutcome.Superseded, HeartbeatOutcome.Withheld -> message.answer(HeartbeatReply.Unavailable)
            }
            pump(partition, now)
        } else {
            val owner = authority.owner(id)?.label
            message.answer(if (owner != null && owner != settings.label) HeartbeatReply.Redirect(owner) else HeartbeatReply.Unavailable)
        }
    }

    private fun send(
        partition: PartitionCore,
        order: DirectOrder,
    ) {
        scope.launch {
            val outcome = workers.send(order)
            mailbox.tell(PartitionMessage.OrderCompleted(partition.id, partition.term, order, outcome))
        }
    }

    private fun probe(
        partition: PartitionCore,
        probe: StatusProbe,
    ) {
        scope.launch { mailbox.tell(PartitionMessage.ProbeCompleted(partition.id, partition.term, probe, workers.probe(probe))) }
    }

    private companion object {
        const val TICK_MS = 250L

        /** Tokens that are reserved at a time: each ends the life of the orders to as many machines as need it. */
        const val TOKENS = 64
    }
}
