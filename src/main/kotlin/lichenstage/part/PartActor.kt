package lichenstage.part

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import lichenstage.app.Clock
import lichenstage.app.Mailbox
import lichenstage.app.Settings
import lichenstage.authority.Authority
import lichenstage.cluster.PartitionFrame
import lichenstage.cluster.PlacementFrame
import lichenstage.jobs.JobReplica
import org.slf4j.LoggerFactory

/** The answer to a worker, decided at the moment it is written. */
sealed interface WorkerAnswer {
    data class Take(
        val token: Long,
        val commands: List<Command>,
    ) : WorkerAnswer

    data class GoTo(
        val label: String,
    ) : WorkerAnswer

    data object NotNow : WorkerAnswer
}

sealed interface PartMessage {
    data class Beat(
        val report: Report,
        val answer: (WorkerAnswer) -> Unit,
    ) : PartMessage

    data class FromLeader(
        val frame: PlacementFrame,
    ) : PartMessage

    data class Ordered(
        val part: String,
        val term: Long,
        val order: DirectOrder,
        val outcome: OrderOutcome,
    ) : PartMessage

    data class Probed(
        val part: String,
        val term: Long,
        val probe: Probe,
        val report: Report?,
    ) : PartMessage

    data object Tick : PartMessage
}

/** Holds the parts that this process owns. */
class PartActor(
    private val settings: Settings,
    private val authority: Authority,
    private val clock: Clock,
    private val scope: CoroutineScope,
    private val workers: WorkerClient,
    private val buildOf: (String) -> Build?,
    private val replica: JobReplica,
    private val toLeader: (PartitionFrame) -> Unit,
) {
    private val log = LoggerFactory.getLogger("lichenstage.part")
    private val parting = settings.parting
    private val parts = HashMap<String, PartCore>()
    private val mailbox = Mailbox("part", scope, ::handle, shed = ::shed)

    init {
        scope.launch {
            while (isActive) {
                delay(TICK_MS)
                mailbox.tell(PartMessage.Tick)
            }
        }
    }

    fun tell(message: PartMessage) = mailbox.tell(message)

    val machineCount get() = parts.values.sumOf { it.machineCount }

    /** Reports and frames come again. */
    private fun shed(message: PartMessage): Boolean {
        if (message is PartMessage.Beat) message.answer(WorkerAnswer.NotNow)
        return message is PartMessage.Beat || message is PartMessage.FromLeader || message is PartMessage.Tick
    }

    private fun handle(message: PartMessage) {
        val now = clock.now()
        when (message) {
            is PartMessage.Beat -> {
                beat(message, now)
            }

            is PartMessage.FromLeader -> {
                refresh(now)
                parts[message.frame.part]?.let {
                    it.leader(message.frame, now)
                    pump(it, now)
                }
            }

            is PartMessage.Ordered -> {
                current(message.part, message.term)?.let {
                    it.ordered(message.order, message.outcome, now)
                    pump(it, now)
                }
            }

            is PartMessage.Probed -> {
                current(message.part, message.term)?.let {
                    it.probed(message.probe, message.report, now)
                    pump(it, now)
                }
            }

            PartMessage.Tick -> {
                refresh(now)
                for (part in parts.values) {
                    part.tick(now)
                    if (!entitled(part)) continue
                    part.probes(now, workers.free / 2).forEach { probe(part, it) }
                    pump(part, now)
                }
            }
        }
    }

    private fun current(
        part: String,
        term: Long,
    ) = parts[part]?.takeIf { it.term == term }

    /** Holding the part is not enough: an answer renews a lease, and must not keep alive what a user was told is cancelled (invariant 15). */
    private fun entitled(part: PartCore) = authority.owning(part.id)?.term == part.term && replica.current(clock.now())

    /** Nothing is ordered or offered without authority; what is due then goes out when it is back. */
    private fun pump(
        part: PartCore,
        now: Long,
    ) {
        if (!entitled(part)) return
        part.directOrders(now, workers.free).forEach { send(part, it) }
        part.frame(now)?.let(toLeader)
    }

    /** Follows the ownership of keys. A part whose authority only pauses keeps what it knows. */
    private fun refresh(now: Long) {
        for (id in parting.parts) {
            val owner = authority.owner(id)
            val part = parts[id]
            if (part != null && owner != null && owner.term > part.term) parts.remove(id)
            val mine = authority.owning(id) ?: continue
            if (parts[id]?.term != mine.term) {
                parts[id] =
                    PartCore(
                        id,
                        parting.zone(id)!!,
                        mine.term,
                        settings.workerLeaseUs,
                        settings.reportUs,
                        now,
                        over = replica::over,
                        buildOf = buildOf,
                    )
                log.info("owning {} under term {}", id, mine.term)
            }
        }
    }

    private fun beat(
        message: PartMessage.Beat,
        now: Long,
    ) {
        val report = message.report
        val id = parting.partOf(report.machine, report.zone)
        if (id == null) {
            message.answer(WorkerAnswer.NotNow)
            return
        }
        if (parts[id] == null) refresh(now)
        val part = parts[id]
        if (part != null && entitled(part)) {
            when (val outcome = part.report(report, now)) {
                is ReportAnswer.Accepted -> message.answer(WorkerAnswer.Take(outcome.token, outcome.commands))
                ReportAnswer.Superseded -> message.answer(WorkerAnswer.NotNow)
            }
            pump(part, now)
        } else {
            val owner = authority.owner(id)?.label
            message.answer(if (owner != null && owner != settings.label) WorkerAnswer.GoTo(owner) else WorkerAnswer.NotNow)
        }
    }

    private fun send(
        part: PartCore,
        order: DirectOrder,
    ) {
        scope.launch {
            val outcome = workers.send(order, part.term)
            mailbox.tell(PartMessage.Ordered(part.id, part.term, order, outcome))
        }
    }

    private fun probe(
        part: PartCore,
        probe: Probe,
    ) {
        scope.launch { mailbox.tell(PartMessage.Probed(part.id, part.term, probe, workers.probe(probe, part.term))) }
    }

    private companion object {
        const val TICK_MS = 250L
    }
}
