package lichenstage.partition

import lichenstage.app.MILLI
import lichenstage.app.SECOND
import lichenstage.app.withDrift
import lichenstage.cluster.AttemptOrder
import lichenstage.cluster.HeldSlots
import lichenstage.cluster.JobRequirements
import lichenstage.cluster.Offer
import lichenstage.cluster.PartitionFrame
import lichenstage.cluster.PlacementFrame
import lichenstage.cluster.PlacementRequest
import lichenstage.cluster.PlacementScore
import lichenstage.cluster.SaveOrder
import lichenstage.cluster.Shape
import lichenstage.cluster.StartOrder
import lichenstage.cluster.TaskPhase
import org.agrona.collections.Long2ObjectHashMap

/** What a machine type offers. */
data class MachineLimits(
    val name: String,
    val capacity: Shape,
    val cacheGb: Double = Double.POSITIVE_INFINITY,
)

/** What to do with a report. */
sealed interface ReportAnswer {
    data class Accepted(
        val token: Long,
        val commands: List<Command>,
    ) : ReportAnswer

    /** The worker has seen a higher token: somebody newer owns this part. */
    data object Superseded : ReportAnswer
}

/** A direct order to send. */
data class DirectOrder(
    val machine: String,
    val address: String,
    val session: Long,
    val commands: List<Command>,
)

/** Asks a machine to show the token. [session]: the one it is known by, or 0. */
data class Probe(
    val machine: String,
    val address: String,
    val session: Long = 0,
)

/** What became of a direct order. */
sealed interface OrderOutcome {
    /** 200 or 409, with the worker's report. */
    data class Answered(
        val executed: Boolean,
        val report: Report?,
    ) : OrderOutcome

    /** The connection was never made, so nothing can arrive. */
    data object NotSent : OrderOutcome

    data object Unclear : OrderOutcome
}

/**
 * A part: machines of one zone under one ownership term, which is the token of its machines.
 *
 * Plain code: reports, leader frames and order outcomes come in with the time, answers and effects go out. A report or a frame
 * costs by what it changes, never by how many machines there are: what has changed and what has orders due is kept apart.
 */
class PartitionCore(
    val id: String,
    private val zone: String,
    val term: Long,
    private val leaseUs: Long,
    private val reportUs: Long,
    private val acquiredUs: Long,
    private val repeatsUs: Long = leaseUs * REPEATS_LEASES,
    /** The job is known to be over, where a task of it has been known since a time (invariant 15). */
    private val over: (String, Long) -> Boolean = { _, _ -> false },
    private val limitsOf: (String) -> MachineLimits?,
) {
    private class Hold(
        val ask: PlacementRequest,
        val grantedUs: Long,
        val counts: MutableMap<String, Int>,
    )

    private val machines = HashMap<String, Machine>()
    private val facts =
        object : LinkedHashMap<String, JobRequirements>(64, 0.75f, true) {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, JobRequirements>) = size > REMEMBERED_JOBS
        }
    private val factsOf: (String) -> JobRequirements? = { facts[it] }
    private val holds = Long2ObjectHashMap<Hold>()
    private val offers = ArrayList<Offer>()

    /** What the leader has not acknowledged, in the order of the changes. */
    private val unacked = LinkedHashSet<Machine>()
    private val ordersDue = LinkedHashSet<Machine>()

    /** Machines with attempts that are not wanted and may never have landed. */
    private val unwanted = HashSet<Machine>()
    private var cordoned: Set<String> = emptySet()
    private val addresses = HashMap<String, String>()
    private val probedUs = HashMap<String, Long>()
    private val probing = HashSet<String>()
    private var version = 0L
    private var acked = 0L
    private var leaderTerm = 0L
    private var seq = 0L

    /** The leader's frame up to which all that it changed has been told. */
    private var toldSeq = 0L
    private var dirty = true
    private var sentUs = Long.MIN_VALUE / 2
    private var sweptUs = Long.MIN_VALUE / 2

    val machineCount get() = machines.size

    /** A report that came at this node. */
    fun report(
        report: Report,
        now: Long,
    ): ReportAnswer {
        if (report.token > term) return ReportAnswer.Superseded
        val machine = machines.getOrPut(report.machine) { newMachine(report, now) }
        if (ingest(machine, report, now)) {
            addresses[report.machine] = report.address
            machine.ordersBlocked = false
            machine.reportedUs = now
            if (machine.attempts.isNotEmpty()) ordersDue += machine
        }
        // Even where it is no news: an answer to an order may have overtaken it, and the worker counts its lease from it.
        if (report.session == machine.session) machine.answeredUs = now
        val heeded = machine.settled && report.session == machine.session && !machine.lost
        val commands = if (heeded) commands(machine, now).take(MAX_COMMANDS) else emptyList()
        sent(machine, commands, now) { it.answeredUs = now }
        return ReportAnswer.Accepted(term, commands)
    }

    private fun newMachine(
        report: Report,
        now: Long,
    ) = Machine(report.machine, report, limitsOf(report.typeName)?.cacheGb ?: Double.POSITIVE_INFINITY).also {
        it.sessionSeenUs = now
        touch(it)
    }

    /** False where the report is no news: an older one, or a late copy, of which nothing is believed. */
    private fun ingest(
        machine: Machine,
        report: Report,
        now: Long,
    ): Boolean {
        if (report.session < machine.session) return false
        if (report.session == machine.session && report.sequence <= machine.sequence) return false
        // A report of a session that has run out is a late one: what it lists is gone.
        if (report.session == machine.session && machine.lost) return false
        machine.heardUs = now
        val changedSession = report.session > machine.session
        if (changedSession) {
            // The worker has killed and forgotten all tasks of the earlier session; orders with it are refused.
            machine.begin(report.session)
            machine.sessionSeenUs = now
            // Its lease ran out although it was answered, so it may not hear us: it has to heed an order first.
            machine.unresponsive = true
        }
        machine.sequence = report.sequence
        var changed = changedSession || machine.lost || machine.address != report.address
        machine.lost = false
        machine.address = report.address
        if ((machine.recallUs == null) != (report.recallUs == null)) changed = true
        machine.recallUs = report.recallUs
        if (report.token == term) {
            if (!machine.settled) changed = true
            machine.settled = true
            if (settle(machine, report, now)) changed = true
        }
        if (changed) touch(machine)
        return true
    }

    /** Takes over the task list of a worker that has shown this owner's token. */
    private fun settle(
        machine: Machine,
        report: Report,
        now: Long,
    ): Boolean {
        var changed = false
        for (row in report.tasks) {
            var attempt = machine.attempts.get(row.attempt)
            if (attempt == null) {
                attempt = Attempt(row.task, row.attempt, now)
                attempt.version = version + 1
                machine.attempts.put(row.attempt, attempt)
                facts[attempt.job]?.let { machine.uses(it) }
                changed = true
            }
            attempt.listedIn = report.sequence
            if (attempt.phase != row.phase || attempt.cause != row.cause) {
                // It took up a start: so it hears us.
                if (!attempt.present) machine.unresponsive = false
                attempt.phase = row.phase
                attempt.cause = row.cause
                attempt.version = version + 1
                changed = true
            }
        }
        if (machine.drop { it.present && it.listedIn != report.sequence }) changed = true
        if (changed) machine.changed()
        return changed
    }

    /** What changed of the machine has got the version that it gets here. */
    private fun touch(machine: Machine) {
        machine.touched(++version)
        unacked.remove(machine)
        unacked.add(machine)
        dirty = true
    }

    /** All that the worker should do now. Each may be repeated; clears only go where no start can land after them. */
    private fun commands(
        machine: Machine,
        now: Long,
    ): List<Command> {
        if (machine.attempts.isEmpty()) return emptyList()
        val commands = ArrayList<Command>()
        for (attempt in machine.attempts.values) {
            when {
                attempt.phase == TaskPhase.PENDING -> {
                    if (!attempt.stopWanted) commands += Command.Start(attempt.task, attempt.number)
                }

                attempt.phase == TaskPhase.ENDED -> {
                    if (attempt.clearWanted && attempt.clearable(now, repeatsUs)) commands += Command.Clear(attempt.task, attempt.number)
                }

                attempt.stopWanted -> {
                    commands += Command.Stop(attempt.task, attempt.number, 0.0)
                }

                attempt.saveDue(now) -> {
                    commands += Command.Stop(attempt.task, attempt.number, attempt.saveLeewayUs!! / SECOND.toDouble())
                }
            }
        }
        return commands
    }

    /** Notes what goes out to a machine now; [started] also notes the way that a start takes. */
    private fun sent(
        machine: Machine,
        commands: List<Command>,
        now: Long,
        started: (Attempt) -> Unit,
    ) {
        for (command in commands) {
            val attempt = machine.attempts.get(command.attempt) ?: continue
            if (command is Command.Stop && !attempt.stopWanted) attempt.saveSentUs = now
            if (command !is Command.Start) continue
            attempt.sentUs = now
            started(attempt)
        }
    }

    /**
     * Direct orders for what shouldn't wait for a report: one at a time for each machine, [most] in all, as there are connections.
     * The rest stays due; where it has to wait, what must stop comes before what may start.
     */
    fun directOrders(
        now: Long,
        most: Int = Int.MAX_VALUE,
    ): List<DirectOrder> {
        if (ordersDue.isEmpty() || most <= 0) return emptyList()
        val orders = ArrayList<DirectOrder>()
        val due = if (ordersDue.size > most) ordersDue.sortedBy { !stopDue(it, now) } else ordersDue.toList()
        for (machine in due) {
            if (orders.size >= most) break
            ordersDue -= machine
            if (!machine.settled || machine.lost || machine.unresponsive || machine.ordersInFlight || machine.ordersBlocked) continue
            val urgent = stopDue(machine, now) || machine.attempts.values.any { !it.present && !it.stopWanted }
            if (!urgent) continue
            val commands = commands(machine, now).take(MAX_COMMANDS)
            sent(machine, commands, now) { it.inFlight++ }
            machine.ordersInFlight = true
            orders += DirectOrder(machine.name, machine.address, machine.session, commands)
        }
        return orders
    }

    private fun stopDue(
        machine: Machine,
        now: Long,
    ) = machine.attempts.values.any { it.saveDue(now) || (it.present && it.stopWanted && it.phase != TaskPhase.ENDED) }

    /**
     * Machines to be asked at once whether they know this owner's token, or whether they hear us. A new owner need not wait
     * until each worker has found it: the answer to an empty order is a report that settles the machine (invariant 3). It
     * renews no lease. Only some at a time: after a takeover hundreds would be due.
     */
    fun probes(
        now: Long,
        most: Int = Int.MAX_VALUE,
    ): List<Probe> {
        val due = ArrayList<Probe>()
        for ((name, address) in addresses) {
            if (probing.size >= MOST_PROBES || due.size >= most) break
            val machine = machines[name]
            if (machine != null && machine.settled && !machine.unresponsive) continue
            if (name in probing || now - (probedUs[name] ?: Long.MIN_VALUE / 2) <= PROBE_US) continue
            probing += name
            probedUs[name] = now
            due += Probe(name, machine?.address ?: address, machine?.session ?: 0)
        }
        return due
    }

    /** What a probe brought: the worker's report, or nothing. */
    fun probed(
        probe: Probe,
        report: Report?,
        now: Long,
    ) {
        probing -= probe.machine
        if (report == null || report.machine != probe.machine || report.zone != zone || report.token > term) return
        val machine = machines.getOrPut(report.machine) { newMachine(report, now) }
        heard(machine)
        ingest(machine, report, now)
    }

    /** The machine answered an order. */
    private fun heard(machine: Machine) {
        machine.ordersBlocked = false
        if (machine.attempts.isNotEmpty()) ordersDue += machine
        if (machine.unresponsive) {
            machine.unresponsive = false
            touch(machine)
        }
    }

    /** What became of [order]. */
    fun ordered(
        order: DirectOrder,
        outcome: OrderOutcome,
        now: Long,
    ) {
        val machine = machines[order.machine] ?: return
        machine.ordersInFlight = false
        if (machine.session == order.session) {
            for (command in order.commands) {
                if (command !is Command.Start) continue
                val attempt = machine.attempts.get(command.attempt) ?: continue
                attempt.inFlight--
                if (outcome is OrderOutcome.Unclear) attempt.unclear = true
            }
        }
        when (outcome) {
            is OrderOutcome.Answered -> {
                heard(machine)
                if (outcome.report != null && outcome.report.machine == machine.name) ingest(machine, outcome.report, now)
                if (!outcome.executed) machine.ordersBlocked = true
            }

            OrderOutcome.NotSent, OrderOutcome.Unclear -> {
                machine.ordersBlocked = true
                if (!machine.unresponsive) {
                    machine.unresponsive = true
                    touch(machine)
                }
            }
        }
        dropUnsent(machine, now)
    }

    /** A start that is no longer wanted and of which no copy is under way never happened. */
    private fun dropUnsent(
        machine: Machine,
        now: Long,
    ) {
        if (machine !in unwanted) return
        if (machine.drop { !it.present && it.stopWanted && it.settled(now, repeatsUs) }) {
            machine.changed()
            touch(machine)
        }
        if (machine.attempts.values.none { !it.present && it.stopWanted }) unwanted -= machine
    }

    /** A frame of the leader; one that is older than the newest seen is not obeyed (invariant 8). */
    fun leader(
        frame: PlacementFrame,
        now: Long,
    ) {
        if (frame.term < leaderTerm) return
        if (frame.term > leaderTerm) begin(frame.term)
        if (frame.seq <= seq) return
        seq = frame.seq
        facts.putAll(frame.facts)
        addresses += frame.addresses
        frame.cordoned?.let { cordoned = it }
        if (frame.ackTerm == term) acknowledged(frame.ackVersion)
        lapse(now)
        frame.releases.forEach(::release)
        for (order in frame.starts) start(order, now)
        // What is left of a hold after its starts was not chosen.
        frame.starts.forEach { release(it.stamp) }
        for (order in frame.stops) mark(order, now) { it.stopWanted = true }
        for (order in frame.clears) mark(order, now) { it.clearWanted = true }
        frame.saves.forEach(::save)
        grantAll(frame.requests.sortedBy { it.stamp }, now)
        if (frame.requests.isNotEmpty() || frame.starts.isNotEmpty() || frame.stops.isNotEmpty()) dirty = true
    }

    /** A new leader knows nothing yet: it is told everything. */
    private fun begin(newLeaderTerm: Long) {
        facts.clear()
        leaderTerm = newLeaderTerm
        seq = 0
        toldSeq = 0
        acked = 0
        holds.keys.toList().forEach(::release)
        offers.clear()
        cordoned = emptySet()
        unacked.clear()
        unacked += machines.values.sortedBy { it.version }
        machines.values.forEach {
            it.changed()
            it.unknown()
        }
        dirty = true
    }

    private fun acknowledged(upTo: Long) {
        acked = maxOf(acked, upTo)
        val iterator = unacked.iterator()
        while (iterator.hasNext()) {
            val machine = iterator.next()
            if (machine.version > acked) return
            machine.acknowledged()
            iterator.remove()
        }
    }

    private fun mark(
        order: AttemptOrder,
        now: Long,
        change: (Attempt) -> Unit,
    ) {
        val machine = machines[order.machine] ?: return
        val attempt = machine.attempts.get(order.attempt) ?: return
        change(attempt)
        ordersDue += machine
        if (!attempt.present && attempt.stopWanted) unwanted += machine
        dropUnsent(machine, now)
        dirty = true
    }

    /** The task is to save and stop; where it has ended or is saving already, there is nothing to do. */
    private fun save(order: SaveOrder) {
        val machine = machines[order.machine] ?: return
        val attempt = machine.attempts.get(order.attempt) ?: return
        attempt.saveLeewayUs = order.leewayUs
        ordersDue += machine
    }

    /** A start on a lapsed or unknown hold is refused: the machine's list, told again, shows the leader that it isn't there. */
    private fun start(
        order: StartOrder,
        now: Long,
    ) {
        val machine = machines[order.machine] ?: return
        val hold = holds.get(order.stamp)
        val left = hold?.counts?.get(order.machine) ?: 0
        if (hold != null && left > 0 && usable(machine) && !over(hold.ask.job, now)) {
            hold.counts[order.machine] = left - 1
            machine.hold(hold.ask.facts.shape, -1)
            machine.uses(hold.ask.facts)
            if (!machine.attempts.containsKey(order.attempt)) {
                val attempt = Attempt("${hold.ask.job}/${order.index}", order.attempt, now)
                attempt.version = version + 1
                machine.attempts.put(order.attempt, attempt)
                machine.changed()
            }
            ordersDue += machine
        }
        touch(machine)
    }

    /** Not in use: what is unsettled, going away, doesn't heed orders, or reports too long a list of what can't be cleared yet. */
    private fun usable(machine: Machine) =
        machine.settled && !machine.lost && !machine.unresponsive && machine.recallUs == null && machine.attempts.size < MOST_ATTEMPTS

    private fun release(stamp: Long) {
        val hold = holds.remove(stamp) ?: return
        for ((name, count) in hold.counts) if (count > 0) machines[name]?.hold(hold.ask.facts.shape, -count)
    }

    private fun lapse(now: Long) {
        if (holds.isEmpty()) return
        holds.values
            .filter { now - it.grantedUs > HOLD_US }
            .map { it.ask.stamp }
            .forEach(::release)
    }

    /** In the order of the stamps. Of a job that asks twice, the later request is for what the first has not got. */
    private fun grantAll(
        requests: List<PlacementRequest>,
        now: Long,
    ) {
        if (requests.isEmpty()) return
        requests.forEach { facts[it.job] = it.facts }
        val got = HashMap<String, Int>()
        val open = open(requests, now)
        for (ask in requests) {
            val offer = grant(ask, ask.count - (got[ask.job] ?: 0), open, now)
            got.merge(ask.job, offer.held.sumOf { it.count }, Int::plus)
            offers += offer
        }
    }

    /**
     * Machines with room for the smallest of the requests. Where there is a backlog nearly all are full, and dozens of requests that
     * each look at every machine would cost more than all else that a part does.
     */
    private fun open(
        requests: List<PlacementRequest>,
        now: Long,
    ): List<Machine> {
        val shapes = requests.map { it.facts.shape }
        val least = Shape(shapes.minOf { it.cores }, shapes.minOf { it.cards }, shapes.minOf { it.memGb })
        return machines.values.filter { machine ->
            usable(machine) && machine.name !in cordoned && now - maxOf(machine.reportedUs, acquiredUs) <= reportUs * 5 / 2 &&
                limitsOf(machine.typeName)?.let { machine.room(least, it.capacity, factsOf) > 0 } == true
        }
    }

    /** Holds room for as many tasks of the request as fit, up to [most], on the roomiest of the [open] machines. */
    private fun grant(
        ask: PlacementRequest,
        most: Int,
        open: List<Machine>,
        now: Long,
    ): Offer {
        // Not for what its leader may not know yet to be over.
        if (over(ask.job, now)) return Offer(ask.stamp, emptyList())
        if (ask.zone != null && ask.zone != zone) return Offer(ask.stamp, emptyList())
        val fitting = ArrayList<HeldSlots>()
        for (machine in open) {
            if ((ask.allowedTypes != null && machine.typeName !in ask.allowedTypes) || (machine.spot && !ask.spot)) continue
            val hasImage = machine.hasImage(ask.facts.image)
            if (ask.imageOnly && !hasImage) continue
            val typeName = limitsOf(machine.typeName) ?: continue
            val tasks = machine.room(ask.facts.shape, typeName.capacity, factsOf)
            if (tasks > 0) fitting += HeldSlots(machine.name, tasks, tasks, hasImage)
        }
        val held = PlacementScore.take(fitting, most)
        if (held.isNotEmpty()) {
            holds[ask.stamp] = Hold(ask, now, held.associateTo(HashMap()) { it.machine to it.count })
            held.forEach { machines.getValue(it.machine).hold(ask.facts.shape, it.count) }
        }
        return Offer(ask.stamp, held)
    }

    /** Watches over silence: past its lease, counted from the last answer, a worker has killed its tasks. */
    fun tick(now: Long) {
        lapse(now)
        for (machine in machines.values) {
            val since = maxOf(machine.answeredUs, machine.sessionSeenUs, acquiredUs)
            if (!machine.lost && now - since > withDrift(leaseUs) + SILENCE_MARGIN_US) {
                machine.lost = true
                machine.drop { true }
                machine.changed()
                touch(machine)
            }
            // Counted from the takeover at the earliest: a worker needs time to find its new owner.
            val silent = now - maxOf(machine.heardUs, acquiredUs) > reportUs * SILENT_REPORTS + SILENCE_MARGIN_US
            if (silent != machine.silent) {
                machine.silent = silent
                touch(machine)
            }
        }
        if (now - sweptUs >= SWEEP_US) stopWhatIsOver(now)
        unwanted.toList().forEach { dropUnsent(it, now) }
        machines.values.filter { it.lost && now - it.answeredUs > FORGET_US }.forEach(::forget)
    }

    /**
     * Tasks of jobs that are over stop whether or not the leader says so (invariant 15): it may be out of reach, or not have heard
     * of a cancellation while this part's answers keep the workers' leases going.
     */
    private fun stopWhatIsOver(now: Long) {
        sweptUs = now
        for (machine in machines.values) {
            for (attempt in machine.attempts.values) {
                if (attempt.stopWanted || attempt.phase == TaskPhase.ENDED || !over(attempt.job, attempt.knownUs)) continue
                attempt.stopWanted = true
                ordersDue += machine
                if (!attempt.present) unwanted += machine
            }
        }
    }

    private fun forget(machine: Machine) {
        machines -= machine.name
        addresses -= machine.name
        probedUs -= machine.name
        unacked -= machine
        ordersDue -= machine
        unwanted -= machine
    }

    /** The next frame for the leader, or null while there is nothing to say. Offers go at once, the rest in batches. */
    fun frame(now: Long): PartitionFrame? {
        if (leaderTerm == 0L) return null
        val due = if (dirty) now - sentUs >= BATCH_US || offers.isNotEmpty() else now - sentUs >= HEARTBEAT_US
        if (!due) return null
        sentUs = now
        val news = unacked.take(MOST_TOLD)
        val whole = news.size == unacked.size
        dirty = !whole
        // While a piece is missing, nothing may be concluded from what is not listed.
        if (whole) toldSeq = seq
        val frame =
            PartitionFrame(
                partition = id,
                term = term,
                ageUs = now - acquiredUs,
                leaderTerm = leaderTerm,
                seq = toldSeq,
                receivedSeq = seq,
                since = acked,
                version = if (whole) version else news.last().version,
                whole = whole,
                machines = news.map { it.view() },
                offers = ArrayList(offers),
            )
        offers.clear()
        return frame
    }

    companion object {
        private const val HOLD_US = 5 * SECOND
        private const val HEARTBEAT_US = 800 * MILLI
        private const val BATCH_US = 100 * MILLI
        private const val SILENCE_MARGIN_US = SECOND
        private const val SILENT_REPORTS = 3
        private const val FORGET_US = 1200 * SECOND
        private const val PROBE_US = 1500 * MILLI
        private const val MAX_COMMANDS = 200
        private const val MOST_PROBES = 24
        private const val MOST_TOLD = 100
        private const val MOST_ATTEMPTS = 150
        private const val SWEEP_US = SECOND / 2
        private const val REMEMBERED_JOBS = 10_000

        /** After so many leases no repeat of an order is expected any more. */
        private const val REPEATS_LEASES = 10
    }
}
