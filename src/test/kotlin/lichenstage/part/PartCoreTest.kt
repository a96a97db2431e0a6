package lichenstage.part

import lichenstage.app.SECOND
import lichenstage.cluster.AttemptOrder
import lichenstage.cluster.JobRequirements
import lichenstage.cluster.PlacementFrame
import lichenstage.cluster.PlacementRequest
import lichenstage.cluster.SaveOrder
import lichenstage.cluster.Shape
import lichenstage.cluster.StartOrder
import lichenstage.cluster.TaskPhase
import net.jqwik.api.Example
import org.junit.platform.commons.util.Preconditions.condition

/** The invariants that a part alone must keep. */
class PartCoreTest {
    private val facts = JobRequirements(Shape(4.0, 0.0, 1.0), "img")
    private var seq = 0L
    private var tally = 0L

    private fun part() = PartCore("z/0", "z", 5, LEASE, 3 * SECOND, 0) { Build("t", Shape(8.0, 0.0, 64.0)) }

    private fun report(
        token: Long,
        vararg tasks: ReportedTask,
        session: Long = 1,
        machine: String = "m",
    ) = Report(machine, "1.2.3.4:5", "t", "z", false, session, ++tally, token, null, tasks.toList())

    private fun frame(
        term: Long = 1,
        requests: List<PlacementRequest> = emptyList(),
        starts: List<StartOrder> = emptyList(),
        stops: List<AttemptOrder> = emptyList(),
        clears: List<AttemptOrder> = emptyList(),
    ) = PlacementFrame("z/0", term, ++seq, 0, 0, requests = requests, starts = starts, stops = stops, clears = clears)

    private fun ask(
        stamp: Long,
        count: Int,
    ) = PlacementRequest(stamp, "j-1", facts, count, null, null, true)

    private fun PartCore.commands(
        report: Report,
        now: Long,
    ) = (report(report, now) as ReportAnswer.Accepted).commands

    /** A part with a settled machine on which j-1/0 was started as try 1; its direct order is returned. */
    private fun started(
        part: PartCore,
        now: Long = 1,
    ): DirectOrder {
        part.report(report(0), now)
        part.report(report(5), now)
        part.leader(frame(requests = listOf(ask(1, 1))), now)
        part.leader(frame(starts = listOf(StartOrder(1, "m", 0, 1))), now)
        return part.directOrders(now).single()
    }

    @Example
    fun `a machine is offered only after its worker has shown the token`() {
        val part = part()
        part.report(report(3), 1)
        part.leader(frame(requests = listOf(ask(1, 1))), 1)
        condition(
            part
                .frame(2)!!
                .offers
                .single()
                .held
                .isEmpty(),
        ) { "offered before it was settled" }
        part.report(report(5), 2)
        part.leader(frame(requests = listOf(ask(2, 1))), 3)
        condition(
            part
                .frame(4)!!
                .offers
                .single()
                .held
                .single()
                .machine == "m",
        ) { "not offered" }
    }

    @Example
    fun `a worker that has seen a higher token is not answered`() {
        condition(part().report(report(6), 1) is ReportAnswer.Superseded) { "answered" }
    }

    @Example
    fun `requests in one frame are granted in the order of their stamps`() {
        val part = part()
        part.report(report(5), 1)
        part.leader(frame(requests = listOf(ask(9, 2).copy(job = "j-2"), ask(3, 1))), 1)
        val offers = part.frame(2)!!.offers.associate { it.stamp to it.held.sumOf { held -> held.count } }
        condition(offers == mapOf(3L to 1, 9L to 1)) { "$offers" }
    }

    /** Guards against cancelled tasks that run on while starts of a burst take all connections. */
    @Example
    fun `where connections are few, what must stop goes before what may start`() {
        val part = part()
        for (name in listOf("m1", "m2")) part.report(report(5, machine = name), 1)
        part.report(report(5, ReportedTask("j-9/0", 9, TaskPhase.RUNNING, null), machine = "m3"), 2)
        part.directOrders(2)
        part.leader(frame(requests = listOf(ask(1, 4))), 3)
        val starts = listOf("m1", "m2").mapIndexed { i, name -> StartOrder(1, name, i, 10L + i) }
        part.leader(frame(starts = starts, stops = listOf(AttemptOrder("m3", "j-9/0", 9))), 4)
        condition(part.directOrders(5, most = 0).isEmpty()) { "sent without a connection" }
        condition(part.directOrders(5, most = 1).map { it.machine } == listOf("m3")) { "the stop was not first" }
        condition(part.directOrders(6, most = 9).map { it.machine } == listOf("m1", "m2")) { "the starts did not follow" }
    }

    /** Counted, not timed: in a backlog dozens of requests come with each frame, and nearly all machines are full. */
    @Example
    fun `a report looks at no other machine and requests look at a full one once, however many there are`() {
        for (machines in listOf(400, 1600)) {
            var looks = 0
            val part =
                PartCore("z/0", "z", 5, LEASE, 3 * SECOND, 0) {
                    looks++
                    Build("t", Shape(8.0, 0.0, 64.0))
                }
            part.leader(frame(requests = listOf(ask(1, 0))), 1)
            val busy = listOf(1L, 2L).map { ReportedTask("j-1/$it", it, TaskPhase.RUNNING, null) }.toTypedArray()
            repeat(machines) { part.report(report(5, *busy, machine = "m$it"), 1) }
            part.report(report(5, machine = "free"), 1)
            looks = 0
            part.report(report(5, *busy, machine = "m7"), 1)
            condition(looks == 0) { "a report made $looks looks at $machines machines" }
            part.leader(frame(requests = (1L..24L).map { ask(10 + it, 1).copy(job = "j-$it") }), 2)
            condition(looks in machines..machines + 1 + 24) { "$looks looks at $machines machines" }
            val held = part.frame(3)!!.offers.sumOf { offer -> offer.held.sumOf { it.count } }
            condition(held == 2) { "$held held on the one that is free" }
        }
    }

    @Example
    fun `holds lapse and a start on a lapsed one is refused and told`() {
        val part = part()
        part.report(report(5), 0)
        part.leader(frame(requests = listOf(ask(1, 1))), 0)
        part.frame(1)
        part.leader(frame(starts = listOf(StartOrder(1, "m", 0, 1))), 6 * SECOND)
        condition(part.directOrders(6 * SECOND).isEmpty()) { "started on a lapsed hold" }
        condition(
            part
                .frame(6 * SECOND)!!
                .machines
                .single()
                .tasks
                .isEmpty(),
        ) { "listed" }
    }

    @Example
    fun `a newer leader's word drops the holds of the one before, whose starts are refused`() {
        val part = part()
        part.report(report(5), 0)
        part.leader(frame(term = 1, requests = listOf(ask(1, 1))), 0)
        part.leader(frame(term = 2), 1)
        part.leader(frame(term = 1, starts = listOf(StartOrder(1, "m", 0, 1))), 2)
        part.leader(frame(term = 2, starts = listOf(StartOrder(1, "m", 0, 1))), 3)
        condition(part.directOrders(3).isEmpty()) { "started" }
    }

    @Example
    fun `what ended other than done is forgotten only when no repeat of its start can come any more`() {
        for (cause in listOf("done", "error")) {
            val part = part()
            val order = started(part)
            val ended = ReportedTask("j-1/0", 1, TaskPhase.ENDED, cause)
            part.ordered(order, OrderOutcome.Answered(true, report(5, ended)), 2)
            part.leader(frame(clears = listOf(AttemptOrder("m", "j-1/0", 1))), 3)
            val soon = part.commands(report(5, ended), 9 * SECOND)
            condition(soon.any { it is Command.Clear } == (cause == "done")) { "$cause: $soon" }
            val late = part.commands(report(5, ended), 11 * LEASE)
            condition(late.any { it is Command.Clear }) { "$cause: $late" }
        }
    }

    @Example
    fun `no clear while a report answer with the start may still land`() {
        val part = part()
        val order = started(part)
        val ended = ReportedTask("j-1/0", 1, TaskPhase.ENDED, "done")
        condition(part.commands(report(5), 10).single() is Command.Start) { "the answer is the sure path" }
        part.ordered(order, OrderOutcome.Answered(true, report(5, ended)), 11)
        part.leader(frame(clears = listOf(AttemptOrder("m", "j-1/0", 1))), 12)
        condition(part.commands(report(5, ended), SECOND).isEmpty()) { "cleared too early" }
        condition(part.commands(report(5, ended), 7 * SECOND).single() is Command.Clear) { "not cleared" }
    }

    private fun saveFrame(leewayS: Long = 5) =
        PlacementFrame("z/0", 1, ++seq, 0, 0, saves = listOf(SaveOrder("m", "j-1/0", 1, leewayS * SECOND)))

    private fun task(phase: TaskPhase) = ReportedTask("j-1/0", 1, phase, if (phase == TaskPhase.ENDED) "halted" else null)

    /** A part with j-1/0 running as try 1 on machine m. */
    private fun running(): PartCore {
        val part = part()
        part.ordered(started(part), OrderOutcome.Answered(true, report(5, task(TaskPhase.RUNNING))), 2)
        return part
    }

    @Example
    fun `a task that is to save is stopped with leeway once, and again only when the first stop must have been lost`() {
        val part = running()
        part.leader(saveFrame(), SECOND)
        val order = part.directOrders(SECOND).single()
        condition(order.commands == listOf(Command.Stop("j-1/0", 1, 5.0))) { "$order" }
        part.ordered(order, OrderOutcome.NotSent, SECOND)
        part.leader(saveFrame(), 3 * SECOND)
        condition(part.commands(report(5, task(TaskPhase.RUNNING)), 4 * SECOND).isEmpty()) { "a second stop may end the saving" }
        val again = part.commands(report(5, task(TaskPhase.RUNNING)), 8 * SECOND)
        condition(again == listOf(Command.Stop("j-1/0", 1, 5.0))) { "$again" }
        condition(part.commands(report(5, task(TaskPhase.SAVING)), 20 * SECOND).isEmpty()) { "stopped while it saves" }
        condition(part.commands(report(5, task(TaskPhase.ENDED)), 21 * SECOND).isEmpty()) { "stopped after its end" }
    }

    @Example
    fun `a saving task whose job is cancelled is ended by a second stop`() {
        val part = running()
        part.leader(saveFrame(), SECOND)
        part.directOrders(SECOND)
        part.report(report(5, task(TaskPhase.SAVING)), 2 * SECOND)
        part.leader(frame(stops = listOf(AttemptOrder("m", "j-1/0", 1))), 2 * SECOND)
        val commands = part.commands(report(5, task(TaskPhase.SAVING)), 3 * SECOND)
        condition(commands == listOf(Command.Stop("j-1/0", 1, 0.0))) { "$commands" }
    }

    @Example
    fun `a task that is to save and of which nothing is heard stays counted until its machine's lease has run out`() {
        val part = running()
        part.leader(saveFrame(), SECOND)
        part.ordered(part.directOrders(SECOND).single(), OrderOutcome.Unclear, 4 * SECOND)
        condition(part.directOrders(5 * SECOND).isEmpty()) { "ordered although it does not answer" }

        fun listed(now: Long) =
            part
                .frame(now)
                ?.machines
                ?.single()
                ?.tasks
                .orEmpty()
        condition(listed(5 * SECOND).single().phase == TaskPhase.RUNNING) { "taken for gone" }
        part.tick(2 * LEASE)
        condition(
            part
                .frame(2 * LEASE)!!
                .machines
                .single()
                .lost,
        ) { "not lost after its lease" }
    }

    @Example
    fun `a machine that does not heed an order is not offered until it answers one, however often it reports`() {
        val part = part()
        val order = started(part)
        part.ordered(order, OrderOutcome.Unclear, 3 * SECOND)
        part.report(report(5), 4 * SECOND)
        part.leader(frame(requests = listOf(ask(2, 1))), 4 * SECOND)
        condition(offered(part, 4 * SECOND).isEmpty()) { "offered although nothing reaches it" }
        val probe = part.probes(5 * SECOND).single()
        part.probed(probe, report(5, ReportedTask("j-1/0", 1, TaskPhase.RUNNING, null)), 5 * SECOND)
        part.leader(frame(requests = listOf(ask(3, 1))), 5 * SECOND)
        condition(offered(part, 5 * SECOND) == listOf("m")) { "not offered although it heeds again" }
    }

    @Example
    fun `a machine whose lease ran out although it was answered has to heed an order first`() {
        val part = part()
        started(part)
        part.report(report(5, session = 2), 20 * SECOND)
        part.leader(frame(requests = listOf(ask(2, 1))), 20 * SECOND)
        condition(offered(part, 20 * SECOND).isEmpty()) { "offered" }
        condition(part.probes(20 * SECOND).single().session == 2L) { "not asked" }
    }

    private fun offered(
        part: PartCore,
        now: Long,
    ) = part
        .frame(now)!!
        .offers
        .last()
        .held
        .map { it.machine }

    @Example
    fun `a first exchange comes in pieces, and nothing is concluded before the last`() {
        val part = part()
        repeat(130) { part.report(report(5, machine = "m$it"), 1) }
        part.leader(frame(), 1)
        val first = part.frame(SECOND)!!
        condition(!first.whole && first.machines.size == 100 && first.seq == 0L && first.receivedSeq == seq) { "$first" }
        part.leader(PlacementFrame("z/0", 1, ++seq, 5, first.version), SECOND)
        val second = part.frame(2 * SECOND)!!
        condition(second.whole && second.machines.size == 30 && second.seq == seq) { "$second" }
        val names = (first.machines + second.machines).map { it.name }.toSet()
        condition(names.size == 130) { "${names.size} machines" }
    }

    @Example
    fun `late and repeated reports change nothing`() {
        val part = part()
        val late = report(5)
        val order = started(part)
        part.ordered(order, OrderOutcome.Answered(true, report(5, ReportedTask("j-1/0", 1, TaskPhase.RUNNING, null))), 2)
        part.frame(2)
        part.report(late, 3)
        condition(
            part
                .frame(5 * SECOND)!!
                .machines
                .single()
                .tasks
                .single()
                .phase == TaskPhase.RUNNING,
        ) { "an old list was believed" }
    }

    @Example
    fun `a silent machine is lost only when its lease has run out, and a late report does not bring its tasks back`() {
        val part = part()
        val order = started(part, now = SECOND)
        val running = ReportedTask("j-1/0", 1, TaskPhase.RUNNING, null)
        part.ordered(order, OrderOutcome.Answered(true, report(5, running)), SECOND)
        val held = report(5, running)
        part.tick(SECOND + LEASE)
        condition(
            !part
                .frame(SECOND + LEASE)!!
                .machines
                .single()
                .lost,
        ) { "lost too early" }
        part.tick(3 * SECOND + LEASE)
        part.report(held, 4 * SECOND + LEASE)
        val view = part.frame(5 * SECOND + LEASE)!!.machines.single()
        condition(view.lost && view.tasks.isEmpty()) { "$view" }
    }

    @Example
    fun `a machine known from a probe alone is not lost before its lease can have run out`() {
        val part = part()
        val late = 100 * SECOND
        part.probed(Probe("m", "1.2.3.4:5"), report(5), late)
        part.tick(late + LEASE / 2)
        part.leader(frame(), late + LEASE / 2)
        condition(
            !part
                .frame(late + LEASE / 2)!!
                .machines
                .single()
                .lost,
        ) { "held for lost" }
    }

    @Example
    fun `a start that is no longer wanted and that nobody got never happened`() {
        val part = part()
        val order = started(part)
        part.leader(frame(stops = listOf(AttemptOrder("m", "j-1/0", 1))), 2)
        condition(
            part
                .frame(2)!!
                .machines
                .single()
                .tasks.size == 1,
        ) { "forgotten with an order under way" }
        part.ordered(order, OrderOutcome.NotSent, 3)
        condition(
            part
                .frame(SECOND)!!
                .machines
                .single()
                .tasks
                .isEmpty(),
        ) { "kept" }
    }

    @Example
    fun `a start of which nothing came back does not take its room for ever once it is not wanted`() {
        val part = part()
        val order = started(part)
        part.ordered(order, OrderOutcome.Unclear, SECOND)
        part.leader(frame(stops = listOf(AttemptOrder("m", "j-1/0", 1))), SECOND)

        fun tasks(now: Long): Int {
            part.report(report(5), now)
            part.tick(now)
            return part
                .frame(now)
                ?.machines
                ?.singleOrNull()
                ?.tasks
                ?.size ?: -1
        }
        condition((1L..9).all { tasks(it * LEASE) != 0 }) { "forgotten while a copy may be under way" }
        condition(tasks(11 * LEASE) == 0) { "kept for ever" }
    }

    @Example
    fun `a machine with something of unknown size on it is full`() {
        val part = part()
        part.report(report(5, ReportedTask("j-77/0", 1, TaskPhase.RUNNING, null)), 1)
        part.leader(frame(requests = listOf(ask(1, 1))), 2)
        condition(
            part
                .frame(3)!!
                .offers
                .single()
                .held
                .isEmpty(),
        ) { "offered" }
    }

    @Example
    fun `among equally roomy machines the one with the image is offered first`() {
        val part = part()
        listOf("a", "b", "c").forEach { part.report(report(5, machine = it), 1) }
        part.leader(frame(requests = listOf(ask(1, 3))), 2)
        part.leader(frame(starts = listOf(StartOrder(1, "b", 0, 1))), 3)
        part.directOrders(3)
        part.report(report(5, ReportedTask("j-1/0", 1, TaskPhase.ENDED, "done"), machine = "b"), 4)
        part.leader(frame(requests = listOf(ask(2, 1))), 5)
        condition(
            part
                .frame(6)!!
                .offers
                .last()
                .held
                .single()
                .machine == "b",
        ) { "a cold machine came first" }
    }

    @Example
    fun `of a job that asks twice the later request is for what the first has not got`() {
        val part = part()
        listOf("a", "b").forEach { part.report(report(5, machine = it), 1) }
        part.leader(frame(requests = listOf(ask(1, 4))), 2)
        part.leader(frame(starts = listOf(StartOrder(1, "b", 0, 1))), 3)
        part.leader(frame(requests = listOf(ask(2, 3).copy(warmOnly = true), ask(3, 3))), 4)
        val counts =
            part
                .frame(SECOND)!!
                .offers
                .takeLast(2)
                .map { offer -> offer.held.sumOf { it.count } }
        condition(counts.sum() == 3 && counts[0] in 1..2) { "$counts" }
    }

    @Example
    fun `a request that waits for warm room gets no other`() {
        val part = part()
        listOf("a", "b").forEach { part.report(report(5, machine = it), 1) }
        part.leader(frame(requests = listOf(ask(1, 3).copy(warmOnly = true))), 2)
        condition(offered(part, 2).isEmpty()) { "a cold machine was offered" }
        part.leader(frame(requests = listOf(ask(2, 4))), 3)
        part.leader(frame(starts = listOf(StartOrder(2, "b", 0, 1))), 4)
        part.directOrders(4)
        part.leader(frame(requests = listOf(ask(3, 3).copy(warmOnly = true))), 5)
        condition(offered(part, 5) == listOf("b")) { "not the machine that fetches the image" }
    }

    @Example
    fun `a machine that answers orders but does not report gets no more tasks, for its lease runs out`() {
        val part = part()
        started(part)
        var now = SECOND
        while (now < 12 * SECOND) {
            now += SECOND
            // As a mute machine does: what it is asked it answers, and its own reports reach nobody.
            part.probed(Probe("m", "1.2.3.4:5", 1), report(5, ReportedTask("j-1/0", 1, TaskPhase.RUNNING, null)), now)
        }
        part.leader(frame(requests = listOf(ask(2, 1))), now)
        val offer = part.frame(now + SECOND)!!.offers.single { it.stamp == 2L }
        condition(offer.held.isEmpty()) { "offered: ${offer.held}" }
    }

    @Example
    fun `a part stops what it knows to be over and takes no more of it, whatever its leader says`() {
        val over = HashSet<String>()
        val part = PartCore("z/0", "z", 5, LEASE, 3 * SECOND, 0, over = { job, _ -> job in over }) { Build("t", Shape(8.0, 0.0, 64.0)) }
        started(part)
        part.leader(frame(requests = listOf(ask(2, 1))), SECOND)
        part.commands(report(5, ReportedTask("j-1/0", 1, TaskPhase.RUNNING, null)), SECOND)
        over += "j-1"
        part.leader(frame(requests = listOf(ask(3, 1)), starts = listOf(StartOrder(2, "m", 1, 2))), 2 * SECOND)
        condition(
            part
                .frame(2 * SECOND)!!
                .offers
                .last()
                .held
                .isEmpty(),
        ) { "offered for a job that is over" }
        part.tick(3 * SECOND)
        val commands = part.commands(report(5, ReportedTask("j-1/0", 1, TaskPhase.RUNNING, null)), 3 * SECOND)
        condition(commands == listOf(Command.Stop("j-1/0", 1, 0.0))) { "not just stopped: $commands" }
    }

    private companion object {
        const val LEASE = 20 * SECOND
    }
}
