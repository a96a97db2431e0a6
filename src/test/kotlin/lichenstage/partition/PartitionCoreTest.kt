package lichenstage.partition

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

/** The invariants that a partition alone must keep. */
class PartitionCoreTest {
    private val facts = JobRequirements(Shape(4.0, 0.0, 1.0), "img")
    private var seq = 0L
    private var tally = 0L

    private fun partition() = PartitionCore("z/0", "z", 5, LEASE, 3 * SECOND, 0) { MachineLimits("t", Shape(8.0, 0.0, 64.0)) }

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

    private fun PartitionCore.commands(
        report: Report,
        now: Long,
    ) = (report(report, now) as ReportAnswer.Accepted).commands

    /** A partition with a settled machine on which j-1/0 was started as try 1; its direct order is returned. */
    private fun started(
        partition: PartitionCore,
        now: Long = 1,
    ): DirectOrder {
        partition.report(report(0), now)
        partition.report(report(5), now)
        partition.leader(frame(requests = listOf(ask(1, 1))), now)
        partition.leader(frame(starts = listOf(StartOrder(1, "m", 0, 1))), now)
        return partition.directOrders(now).single()
    }

    @Example
    fun `a machine is offered only after its worker has shown the token`() {
        val partition = partition()
        partition.report(report(3), 1)
        partition.leader(frame(requests = listOf(ask(1, 1))), 1)
        condition(
            partition
                .frame(2)!!
                .offers
                .single()
                .held
                .isEmpty(),
        ) { "offered before it was settled" }
        partition.report(report(5), 2)
        partition.leader(frame(requests = listOf(ask(2, 1))), 3)
        condition(
            partition
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
        condition(partition().report(report(6), 1) is ReportAnswer.Superseded) { "answered" }
    }

    @Example
    fun `requests in one frame are granted in the order of their stamps`() {
        val partition = partition()
        partition.report(report(5), 1)
        partition.leader(frame(requests = listOf(ask(9, 2).copy(job = "j-2"), ask(3, 1))), 1)
        val offers = partition.frame(2)!!.offers.associate { it.stamp to it.held.sumOf { held -> held.count } }
        condition(offers == mapOf(3L to 1, 9L to 1)) { "$offers" }
    }

    /** Guards against cancelled tasks that run on while starts of a burst take all connections. */
    @Example
    fun `where connections are few, what must stop goes before what may start`() {
        val partition = partition()
        for (name in listOf("m1", "m2")) partition.report(report(5, machine = name), 1)
        partition.report(report(5, ReportedTask("j-9/0", 9, TaskPhase.RUNNING, null), machine = "m3"), 2)
        partition.directOrders(2)
        partition.leader(frame(requests = listOf(ask(1, 4))), 3)
        val starts = listOf("m1", "m2").mapIndexed { i, name -> StartOrder(1, name, i, 10L + i) }
        partition.leader(frame(starts = starts, stops = listOf(AttemptOrder("m3", "j-9/0", 9))), 4)
        condition(partition.directOrders(5, most = 0).isEmpty()) { "sent without a connection" }
        condition(partition.directOrders(5, most = 1).map { it.machine } == listOf("m3")) { "the stop was not first" }
        condition(partition.directOrders(6, most = 9).map { it.machine } == listOf("m1", "m2")) { "the starts did not follow" }
    }

    /** Counted, not timed: in a backlog dozens of requests come with each frame, and nearly all machines are full. */
    @Example
    fun `a report looks at no other machine and requests look at a full one once, however many there are`() {
        for (machines in listOf(400, 1600)) {
            var looks = 0
            val partition =
                PartitionCore("z/0", "z", 5, LEASE, 3 * SECOND, 0) {
                    looks++
                    MachineLimits("t", Shape(8.0, 0.0, 64.0))
                }
            partition.leader(frame(requests = listOf(ask(1, 0))), 1)
            val busy = listOf(1L, 2L).map { ReportedTask("j-1/$it", it, TaskPhase.RUNNING, null) }.toTypedArray()
            repeat(machines) { partition.report(report(5, *busy, machine = "m$it"), 1) }
            partition.report(report(5, machine = "free"), 1)
            looks = 0
            partition.report(report(5, *busy, machine = "m7"), 1)
            condition(looks == 0) { "a report made $looks looks at $machines machines" }
            partition.leader(frame(requests = (1L..24L).map { ask(10 + it, 1).copy(job = "j-$it") }), 2)
            condition(looks in machines..machines + 1 + 24) { "$looks looks at $machines machines" }
            val held = partition.frame(3)!!.offers.sumOf { offer -> offer.held.sumOf { it.count } }
            condition(held == 2) { "$held held on the one that is free" }
        }
    }

    @Example
    fun `holds lapse and a start on a lapsed one is refused and told`() {
        val partition = partition()
        partition.report(report(5), 0)
        partition.leader(frame(requests = listOf(ask(1, 1))), 0)
        partition.frame(1)
        partition.leader(frame(starts = listOf(StartOrder(1, "m", 0, 1))), 6 * SECOND)
        condition(partition.directOrders(6 * SECOND).isEmpty()) { "started on a lapsed hold" }
        condition(
            partition
                .frame(6 * SECOND)!!
                .machines
                .single()
                .tasks
                .isEmpty(),
        ) { "listed" }
    }

    @Example
    fun `a newer leader's word drops the holds of the one before, whose starts are refused`() {
        val partition = partition()
        partition.report(report(5), 0)
        partition.leader(frame(term = 1, requests = listOf(ask(1, 1))), 0)
        partition.leader(frame(term = 2), 1)
        partition.leader(frame(term = 1, starts = listOf(StartOrder(1, "m", 0, 1))), 2)
        partition.leader(frame(term = 2, starts = listOf(StartOrder(1, "m", 0, 1))), 3)
        condition(partition.directOrders(3).isEmpty()) { "started" }
    }

    @Example
    fun `what ended other than done is forgotten only when no repeat of its start can come any more`() {
        for (cause in listOf("done", "error")) {
            val partition = partition()
            val order = started(partition)
            val ended = ReportedTask("j-1/0", 1, TaskPhase.ENDED, cause)
            partition.ordered(order, OrderOutcome.Answered(true, report(5, ended)), 2)
            partition.leader(frame(clears = listOf(AttemptOrder("m", "j-1/0", 1))), 3)
            val soon = partition.commands(report(5, ended), 9 * SECOND)
            condition(soon.any { it is Command.Clear } == (cause == "done")) { "$cause: $soon" }
            val late = partition.commands(report(5, ended), 11 * LEASE)
            condition(late.any { it is Command.Clear }) { "$cause: $late" }
        }
    }

    @Example
    fun `no clear while a report answer with the start may still land`() {
        val partition = partition()
        val order = started(partition)
        val ended = ReportedTask("j-1/0", 1, TaskPhase.ENDED, "done")
        condition(partition.commands(report(5), 10).single() is Command.Start) { "the answer is the sure path" }
        partition.ordered(order, OrderOutcome.Answered(true, report(5, ended)), 11)
        partition.leader(frame(clears = listOf(AttemptOrder("m", "j-1/0", 1))), 12)
        condition(partition.commands(report(5, ended), SECOND).isEmpty()) { "cleared too early" }
        condition(partition.commands(report(5, ended), 7 * SECOND).single() is Command.Clear) { "not cleared" }
    }

    private fun saveFrame(leewayS: Long = 5) =
        PlacementFrame("z/0", 1, ++seq, 0, 0, saves = listOf(SaveOrder("m", "j-1/0", 1, leewayS * SECOND)))

    private fun task(phase: TaskPhase) = ReportedTask("j-1/0", 1, phase, if (phase == TaskPhase.ENDED) "halted" else null)

    /** A partition with j-1/0 running as try 1 on machine m. */
    private fun running(): PartitionCore {
        val partition = partition()
        partition.ordered(started(partition), OrderOutcome.Answered(true, report(5, task(TaskPhase.RUNNING))), 2)
        return partition
    }

    @Example
    fun `a task that is to save is stopped with leeway once, and again only when the first stop must have been lost`() {
        val partition = running()
        partition.leader(saveFrame(), SECOND)
        val order = partition.directOrders(SECOND).single()
        condition(order.commands == listOf(Command.Stop("j-1/0", 1, 5.0))) { "$order" }
        partition.ordered(order, OrderOutcome.NotSent, SECOND)
        partition.leader(saveFrame(), 3 * SECOND)
        condition(partition.commands(report(5, task(TaskPhase.RUNNING)), 4 * SECOND).isEmpty()) { "a second stop may end the saving" }
        val again = partition.commands(report(5, task(TaskPhase.RUNNING)), 8 * SECOND)
        condition(again == listOf(Command.Stop("j-1/0", 1, 5.0))) { "$again" }
        condition(partition.commands(report(5, task(TaskPhase.SAVING)), 20 * SECOND).isEmpty()) { "stopped while it saves" }
        condition(partition.commands(report(5, task(TaskPhase.ENDED)), 21 * SECOND).isEmpty()) { "stopped after its end" }
    }

    @Example
    fun `a saving task whose job is cancelled is ended by a second stop`() {
        val partition = running()
        partition.leader(saveFrame(), SECOND)
        partition.directOrders(SECOND)
        partition.report(report(5, task(TaskPhase.SAVING)), 2 * SECOND)
        partition.leader(frame(stops = listOf(AttemptOrder("m", "j-1/0", 1))), 2 * SECOND)
        val commands = partition.commands(report(5, task(TaskPhase.SAVING)), 3 * SECOND)
        condition(commands == listOf(Command.Stop("j-1/0", 1, 0.0))) { "$commands" }
    }

    @Example
    fun `a task that is to save and of which nothing is heard stays counted until its machine's lease has run out`() {
        val partition = running()
        partition.leader(saveFrame(), SECOND)
        partition.ordered(partition.directOrders(SECOND).single(), OrderOutcome.Unclear, 4 * SECOND)
        condition(partition.directOrders(5 * SECOND).isEmpty()) { "ordered although it does not answer" }

        fun listed(now: Long) =
            partition
                .frame(now)
                ?.machines
                ?.single()
                ?.tasks
                .orEmpty()
        condition(listed(5 * SECOND).single().phase == TaskPhase.RUNNING) { "taken for gone" }
        partition.tick(2 * LEASE)
        condition(
            partition
                .frame(2 * LEASE)!!
                .machines
                .single()
                .lost,
        ) { "not lost after its lease" }
    }

    @Example
    fun `a machine that does not heed an order is not offered until it answers one, however often it reports`() {
        val partition = partition()
        val order = started(partition)
        partition.ordered(order, OrderOutcome.Unclear, 3 * SECOND)
        partition.report(report(5), 4 * SECOND)
        partition.leader(frame(requests = listOf(ask(2, 1))), 4 * SECOND)
        condition(offered(partition, 4 * SECOND).isEmpty()) { "offered although nothing reaches it" }
        val probe = partition.probes(5 * SECOND).single()
        partition.probed(probe, report(5, ReportedTask("j-1/0", 1, TaskPhase.RUNNING, null)), 5 * SECOND)
        partition.leader(frame(requests = listOf(ask(3, 1))), 5 * SECOND)
        condition(offered(partition, 5 * SECOND) == listOf("m")) { "not offered although it heeds again" }
    }

    @Example
    fun `a machine whose lease ran out although it was answered has to heed an order first`() {
        val partition = partition()
        started(partition)
        partition.report(report(5, session = 2), 20 * SECOND)
        partition.leader(frame(requests = listOf(ask(2, 1))), 20 * SECOND)
        condition(offered(partition, 20 * SECOND).isEmpty()) { "offered" }
        condition(partition.probes(20 * SECOND).single().session == 2L) { "not asked" }
    }

    private fun offered(
        partition: PartitionCore,
        now: Long,
    ) = partition
        .frame(now)!!
        .offers
        .last()
        .held
        .map { it.machine }

    @Example
    fun `a first exchange comes in pieces, and nothing is concluded before the last`() {
        val partition = partition()
        repeat(130) { partition.report(report(5, machine = "m$it"), 1) }
        partition.leader(frame(), 1)
        val first = partition.frame(SECOND)!!
        condition(!first.whole && first.machines.size == 100 && first.seq == 0L && first.receivedSeq == seq) { "$first" }
        partition.leader(PlacementFrame("z/0", 1, ++seq, 5, first.version), SECOND)
        val second = partition.frame(2 * SECOND)!!
        condition(second.whole && second.machines.size == 30 && second.seq == seq) { "$second" }
        val names = (first.machines + second.machines).map { it.name }.toSet()
        condition(names.size == 130) { "${names.size} machines" }
    }

    @Example
    fun `late and repeated reports change nothing`() {
        val partition = partition()
        val late = report(5)
        val order = started(partition)
        partition.ordered(order, OrderOutcome.Answered(true, report(5, ReportedTask("j-1/0", 1, TaskPhase.RUNNING, null))), 2)
        partition.frame(2)
        partition.report(late, 3)
        condition(
            partition
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
        val partition = partition()
        val order = started(partition, now = SECOND)
        val running = ReportedTask("j-1/0", 1, TaskPhase.RUNNING, null)
        partition.ordered(order, OrderOutcome.Answered(true, report(5, running)), SECOND)
        val held = report(5, running)
        partition.tick(SECOND + LEASE)
        condition(
            !partition
                .frame(SECOND + LEASE)!!
                .machines
                .single()
                .lost,
        ) { "lost too early" }
        partition.tick(3 * SECOND + LEASE)
        partition.report(held, 4 * SECOND + LEASE)
        val view = partition.frame(5 * SECOND + LEASE)!!.machines.single()
        condition(view.lost && view.tasks.isEmpty()) { "$view" }
    }

    @Example
    fun `a machine known from a probe alone is not lost before its lease can have run out`() {
        val partition = partition()
        val late = 100 * SECOND
        partition.probed(Probe("m", "1.2.3.4:5"), report(5), late)
        partition.tick(late + LEASE / 2)
        partition.leader(frame(), late + LEASE / 2)
        condition(
            !partition
                .frame(late + LEASE / 2)!!
                .machines
                .single()
                .lost,
        ) { "held for lost" }
    }

    @Example
    fun `a start that is no longer wanted and that nobody got never happened`() {
        val partition = partition()
        val order = started(partition)
        partition.leader(frame(stops = listOf(AttemptOrder("m", "j-1/0", 1))), 2)
        condition(
            partition
                .frame(2)!!
                .machines
                .single()
                .tasks.size == 1,
        ) { "forgotten with an order under way" }
        partition.ordered(order, OrderOutcome.NotSent, 3)
        condition(
            partition
                .frame(SECOND)!!
                .machines
                .single()
                .tasks
                .isEmpty(),
        ) { "kept" }
    }

    @Example
    fun `a start of which nothing came back does not take its room for ever once it is not wanted`() {
        val partition = partition()
        val order = started(partition)
        partition.ordered(order, OrderOutcome.Unclear, SECOND)
        partition.leader(frame(stops = listOf(AttemptOrder("m", "j-1/0", 1))), SECOND)

        fun tasks(now: Long): Int {
            partition.report(report(5), now)
            partition.tick(now)
            return partition
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
        val partition = partition()
        partition.report(report(5, ReportedTask("j-77/0", 1, TaskPhase.RUNNING, null)), 1)
        partition.leader(frame(requests = listOf(ask(1, 1))), 2)
        condition(
            partition
                .frame(3)!!
                .offers
                .single()
                .held
                .isEmpty(),
        ) { "offered" }
    }

    @Example
    fun `among equally roomy machines the one with the image is offered first`() {
        val partition = partition()
        listOf("a", "b", "c").forEach { partition.report(report(5, machine = it), 1) }
        partition.leader(frame(requests = listOf(ask(1, 3))), 2)
        partition.leader(frame(starts = listOf(StartOrder(1, "b", 0, 1))), 3)
        partition.directOrders(3)
        partition.report(report(5, ReportedTask("j-1/0", 1, TaskPhase.ENDED, "done"), machine = "b"), 4)
        partition.leader(frame(requests = listOf(ask(2, 1))), 5)
        condition(
            partition
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
        val partition = partition()
        listOf("a", "b").forEach { partition.report(report(5, machine = it), 1) }
        partition.leader(frame(requests = listOf(ask(1, 4))), 2)
        partition.leader(frame(starts = listOf(StartOrder(1, "b", 0, 1))), 3)
        partition.leader(frame(requests = listOf(ask(2, 3).copy(imageOnly = true), ask(3, 3))), 4)
        val counts =
            partition
                .frame(SECOND)!!
                .offers
                .takeLast(2)
                .map { offer -> offer.held.sumOf { it.count } }
        condition(counts.sum() == 3 && counts[0] in 1..2) { "$counts" }
    }

    @Example
    fun `a request that waits for warm room gets no other`() {
        val partition = partition()
        listOf("a", "b").forEach { partition.report(report(5, machine = it), 1) }
        partition.leader(frame(requests = listOf(ask(1, 3).copy(imageOnly = true))), 2)
        condition(offered(partition, 2).isEmpty()) { "a cold machine was offered" }
        partition.leader(frame(requests = listOf(ask(2, 4))), 3)
        partition.leader(frame(starts = listOf(StartOrder(2, "b", 0, 1))), 4)
        partition.directOrders(4)
        partition.leader(frame(requests = listOf(ask(3, 3).copy(imageOnly = true))), 5)
        condition(offered(partition, 5) == listOf("b")) { "not the machine that fetches the image" }
    }

    @Example
    fun `a machine that answers orders but does not report gets no more tasks, for its lease runs out`() {
        val partition = partition()
        started(partition)
        var now = SECOND
        while (now < 12 * SECOND) {
            now += SECOND
            // As a mute machine does: what it is asked it answers, and its own reports reach nobody.
            partition.probed(Probe("m", "1.2.3.4:5", 1), report(5, ReportedTask("j-1/0", 1, TaskPhase.RUNNING, null)), now)
        }
        partition.leader(frame(requests = listOf(ask(2, 1))), now)
        val offer = partition.frame(now + SECOND)!!.offers.single { it.stamp == 2L }
        condition(offer.held.isEmpty()) { "offered: ${offer.held}" }
    }

    @Example
    fun `a part stops what it knows to be over and takes no more of it, whatever its leader says`() {
        val over = HashSet<String>()
        val partition =
            PartitionCore("z/0", "z", 5, LEASE, 3 * SECOND, 0, over = {
                job,
                _,
                ->
                job in over
            }) { MachineLimits("t", Shape(8.0, 0.0, 64.0)) }
        started(partition)
        partition.leader(frame(requests = listOf(ask(2, 1))), SECOND)
        partition.commands(report(5, ReportedTask("j-1/0", 1, TaskPhase.RUNNING, null)), SECOND)
        over += "j-1"
        partition.leader(frame(requests = listOf(ask(3, 1)), starts = listOf(StartOrder(2, "m", 1, 2))), 2 * SECOND)
        condition(
            partition
                .frame(2 * SECOND)!!
                .offers
                .last()
                .held
                .isEmpty(),
        ) { "offered for a job that is over" }
        partition.tick(3 * SECOND)
        val commands = partition.commands(report(5, ReportedTask("j-1/0", 1, TaskPhase.RUNNING, null)), 3 * SECOND)
        condition(commands == listOf(Command.Stop("j-1/0", 1, 0.0))) { "not just stopped: $commands" }
    }

    private companion object {
        const val LEASE = 20 * SECOND
    }
}
