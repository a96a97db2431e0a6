package lichenstage.placement

import lichenstage.app.Objective
import lichenstage.app.ObjectiveKind
import lichenstage.app.SECOND
import lichenstage.app.Team
import lichenstage.cluster.HeldSlots
import lichenstage.cluster.MachineState
import lichenstage.cluster.Offer
import lichenstage.cluster.PartitionAssignment
import lichenstage.cluster.PartitionFrame
import lichenstage.cluster.PlacementFrame
import lichenstage.cluster.Shape
import lichenstage.cluster.TaskPhase
import lichenstage.cluster.TaskState
import lichenstage.jobs.JobSpec
import lichenstage.jobs.Priority
import net.jqwik.api.Example
import org.junit.platform.commons.util.Preconditions.condition

/** What the leader alone must keep. */
class LeaderCoreTest {
    private val effects = ArrayList<LeaderEffect>()
    private val teams = mapOf("red" to Team("red", 0.0, 8.0, 0.0, Double.POSITIVE_INFINITY))
    private var version = 0L
    private val assignment = PartitionAssignment(listOf("y", "z"), emptyMap())

    private fun leader() =
        LeaderCore(7, 100, assignment, teams, 20 * SECOND, Timers(), ServiceObjectives(emptyList()), { Shape(16.0, 0.0, 64.0) }, 10) {
            effects +=
                it
        }

    private fun spec(
        id: String,
        tasks: Int = 2,
        same: Boolean = false,
        spread: Boolean = false,
    ) = JobSpec(id, "c", "red", Priority.HIGH, tasks, Shape(4.0, 0.0, 1.0), null, null, same, spread, true, "i", 1.0, SECOND, 0, 0, null, 0)

    private fun job(
        id: String,
        stamp: Long = 1,
        tasks: Int = 2,
        same: Boolean = false,
        spread: Boolean = false,
    ) = Job(spec(id, tasks, same, spread), stamp, 0)

    private fun view(
        name: String,
        vararg tasks: TaskState,
        settled: Boolean = true,
        lost: Boolean = false,
    ) = MachineState(name, "1.2.3.4:5", "t", false, settled, false, false, lost, null, tasks.toList())

    private fun partition(
        zone: String,
        seq: Long,
        vararg views: MachineState,
        offers: List<Offer> = emptyList(),
        term: Long = 3,
        age: Long = SECOND,
        whole: Boolean = true,
    ) = PartitionFrame("$zone/0", term, age, 7, seq, seq, 0, ++version, whole, views.toList(), offers)

    private fun sent(zone: String) = effects.filterIsInstance<LeaderEffect.Send>().filter { it.partition == "$zone/0" }.map { it.frame }

    private fun lastAsk(): PlacementFrame = sent("z").last { it.requests.isNotEmpty() }

    private fun starts() = effects.filterIsInstance<LeaderEffect.Send>().flatMap { it.frame.starts }

    private fun offer(
        frame: PlacementFrame,
        machine: String,
        count: Int,
    ) = frame.requests.map {
        Offer(it.stamp, listOf(HeldSlots(machine, count, count, false)))
    }

    private fun inherited(vararg names: String) = names.map { InheritedMachine(it, "z/0", "t", null) }

    @Example
    fun `older jobs wait until every registered machine is accounted for, fresh ones do not`() {
        val leader = leader()
        leader.inherited(inherited("m1", "m2"))
        leader.jobAdded(job("j-1", stamp = 50))
        leader.frame(partition("z", 0, view("m1")), SECOND)
        leader.tick(2 * SECOND)
        condition(sent("z").none { it.requests.isNotEmpty() }) { "asked while m2 was not accounted for" }
        leader.frame(partition("z", 0, view("m1"), view("m2")), 3 * SECOND)
        leader.tick(3 * SECOND)
        condition(lastAsk().requests.single().job == "j-1") { "not asked" }
    }

    @Example
    fun `while a machine is unheard it counts at its full size against a limited team`() {
        val leader = leader()
        leader.inherited(inherited("m1", "m2"))
        leader.jobAdded(job("j-2", stamp = 101))
        leader.frame(partition("z", 0, view("m1")), SECOND)
        leader.tick(2 * SECOND)
        condition(sent("z").none { it.requests.isNotEmpty() }) { "16 unheard cores leave nothing of a limit of 8" }
    }

    @Example
    fun `an unheard machine is accounted for by its lease, and blocks only so long`() {
        val leader = leader()
        leader.inherited(inherited("m1"))
        leader.jobAdded(job("j-1"))
        leader.frame(partition("z", 0, age = 21 * SECOND), SECOND)
        condition(!leader.complete && leader.blockers() == listOf("m1")) { "${leader.complete} ${leader.blockers()}" }
        leader.frame(partition("z", 0, age = 23 * SECOND), 3 * SECOND)
        condition(leader.complete) { "still waiting" }
    }

    @Example
    fun `a machine that was answered but has not shown the token is not accounted for by time`() {
        val leader = leader()
        leader.inherited(inherited("m1"))
        leader.jobAdded(job("j-1"))
        leader.frame(partition("z", 0, view("m1", settled = false), age = 60 * SECOND), SECOND)
        condition(!leader.complete) { "an answer may have renewed its lease" }
        leader.frame(partition("z", 0, view("m1", settled = false, lost = true), age = 61 * SECOND), 2 * SECOND)
        condition(leader.complete) { "still waiting" }
    }

    @Example
    fun `nothing is concluded from a frame that leaves machines out`() {
        val leader = leader()
        leader.inherited(inherited("m1", "m2"))
        leader.jobAdded(job("j-1"))
        leader.frame(partition("z", 0, view("m1"), age = 60 * SECOND, whole = false), SECOND)
        condition(!leader.complete) { "m2 may be in the next piece" }
        leader.frame(partition("z", 0, age = 60 * SECOND), 2 * SECOND)
        condition(leader.complete) { "still waiting" }
    }

    @Example
    fun `only a machine that has shown the token is recorded, and one that was returned never again`() {
        val leader = leader()
        leader.frame(partition("z", 0, view("m1"), view("m2", settled = false), view("m3")), SECOND)
        leader.machineGone("m3")
        leader.frame(partition("z", 0, view("m3")), 2 * SECOND)
        condition(leader.unregistered().map { it.machine.name } == listOf("m1")) { "${leader.unregistered()}" }
    }

    @Example
    fun `tasks of a machine that was returned are not taken for those that run elsewhere`() {
        val leader = leader()
        leader.inherited(inherited("m1"))
        leader.jobAdded(job("j-1"))
        val ghost = view("ghost", TaskState("j-1/0", 3, TaskPhase.RUNNING))
        leader.frame(partition("z", 0, ghost, view("m1", TaskState("j-1/0", 4, TaskPhase.RUNNING))), SECOND)
        condition(leader.attemptsOn("ghost").isEmpty()) { "adopted" }
        condition(leader.attemptsOn("m1").single().number == 4L) { "the real one is not known" }
        leader.tick(SECOND)
        condition(sent("z").flatMap { it.stops }.none { it.machine == "m1" }) { "the real one was stopped" }
    }

    /** Found by an own day of concurrent faults: a machine was given back a second before the leader ended, and was still in the record. */
    @Example
    fun `of two tries of a task the newer is the real one, in whatever order they come to light`() {
        for (newerFirst in listOf(false, true)) {
            effects.clear()
            val leader = leader()
            leader.inherited(inherited("back", "m1"))
            leader.jobAdded(job("j-1"))
            val views = listOf(view("back", TaskState("j-1/0", 3, TaskPhase.RUNNING)), view("m1", TaskState("j-1/0", 4, TaskPhase.RUNNING)))
            leader.frame(partition("z", 0, *(if (newerFirst) views.reversed() else views).toTypedArray()), SECOND)
            condition(leader.attemptsOn("back").isEmpty()) { "the older is still counted" }
            condition(leader.attemptsOn("m1").single().number == 4L) { "the newer is not known" }
            leader.tick(SECOND)
            condition(sent("z").flatMap { it.stops }.map { it.machine } == listOf("back")) { "${sent("z").flatMap { it.stops }}" }
            leader.frame(partition("z", 0, view("back", lost = true)), 2 * SECOND)
            leader.tick(2 * SECOND)
            leader.tick(3 * SECOND)
            condition(lastAsk().requests.single().count == 1) { "more than the other task is asked for: ${lastAsk().requests}" }
        }
    }

    @Example
    fun `a late copy that names a machine without record keeps nobody waiting`() {
        val leader = leader()
        leader.inherited(inherited("m1"))
        leader.jobAdded(job("j-1"))
        leader.frame(partition("z", 0, view("m1"), view("ghost", settled = false)), SECOND)
        condition(leader.complete) { "waiting for a machine that is gone" }
    }

    @Example
    fun `tasks found running are adopted and not started again`() {
        val leader = leader()
        leader.inherited(inherited("m1"))
        leader.jobAdded(job("j-1"))
        leader.frame(partition("z", 0, view("m1", TaskState("j-1/0", 3, TaskPhase.RUNNING))), SECOND)
        leader.tick(2 * SECOND)
        condition(lastAsk().requests.single().count == 1) { "${lastAsk().requests}" }
    }

    /** Brings all tasks of a job, two where none is given, on m1 in partition z. */
    private fun placed(job: Job = job("j-1")): LeaderCore {
        val leader = leader()
        leader.registered(mapOf("m1" to "z/0"))
        leader.jobAdded(job)
        leader.frame(partition("y", 0), SECOND)
        leader.frame(partition("z", 0, view("m1")), SECOND)
        leader.tick(SECOND)
        val ask = lastAsk()
        leader.frame(partition("y", sent("y").last().seq, offers = ask.requests.map { Offer(it.stamp, emptyList()) }), SECOND)
        leader.frame(partition("z", ask.seq, offers = offer(ask, "m1", job.spec.tasks)), SECOND)
        leader.tick(SECOND)
        condition(starts().map { it.index }.toSet() == (0 until job.spec.tasks).toSet()) { "${starts()}" }
        return leader
    }

    /** The order goes out with the next frame, the progress counts once the task is seen stopped, and the task is queued again. */
    @Example
    fun `tasks with checkpoints on a machine with a notice are ordered to save, and go on elsewhere`() {
        val spec = spec("j-1", tasks = 1).copy(estimateUs = 100 * SECOND, checkpointUs = 20 * SECOND, saveUs = 4 * SECOND)
        val job = Job(spec, 101, 0)
        val leader = placed(job)
        val attempt = starts().single().attempt
        val seq = sent("z").last().seq

        fun shown(
            phase: TaskPhase,
            recallS: Long?,
            nowS: Long,
        ) {
            val cause = if (phase == TaskPhase.ENDED) "halted" else null
            val machine = view("m1", TaskState("j-1/0", attempt, phase, cause)).copy(recallUs = recallS?.let { it * SECOND })
            leader.frame(partition("z", seq, machine), nowS * SECOND)
            leader.tick(nowS * SECOND)
        }
        shown(TaskPhase.RUNNING, null, 2)
        shown(TaskPhase.RUNNING, 9, 40)
        leader.tick(41 * SECOND)
        condition(sent("z").flatMap { it.saves }.map { it.attempt } == listOf(attempt)) { "${sent("z").last()}" }
        shown(TaskPhase.ENDED, 4, 45)
        condition(job.totalSavedUs in 37 * SECOND..39 * SECOND) { "${job.totalSavedUs}" }
        condition(leader.attemptsOn("m1").isEmpty() && job.pending.size == 1) { "not queued again" }
    }

    @Example
    fun `a start is given up only when its part has seen it and does not list it`() {
        val leader = placed()
        val seq = sent("z").last { it.starts.isNotEmpty() }.seq
        leader.frame(partition("z", seq - 1, view("m1")), 2 * SECOND)
        condition(leader.attemptsOn("m1").size == 2) { "given up by a frame from before it" }
        leader.frame(
            partition("z", seq, view("m1", TaskState("j-1/${starts()[0].index}", starts()[0].attempt, TaskPhase.PENDING))),
            2 * SECOND,
        )
        condition(leader.attemptsOn("m1").map { it.index } == listOf(starts()[0].index)) { "${leader.attemptsOn("m1").map { it.task }}" }
    }

    @Example
    fun `under a new owner nothing is given up before the worker has shown the new token`() {
        val leader = placed()
        leader.frame(partition("z", 0, view("m1", settled = false), term = 4), 3 * SECOND)
        condition(leader.attemptsOn("m1").size == 2) { "given up too early" }
        leader.frame(partition("z", 0, view("m1"), term = 4), 4 * SECOND)
        condition(leader.attemptsOn("m1").isEmpty()) { "kept" }
    }

    @Example
    fun `limits count what is started`() {
        val leader = placed()
        leader.jobAdded(job("j-2"))
        effects.clear()
        leader.tick(5 * SECOND)
        condition(sent("z").none { it.requests.isNotEmpty() }) { "asked beyond the limit of 8 cores" }
    }

    @Example
    fun `done is written before it is cleared, and the job is over only with the record`() {
        val leader = placed()
        val ended = starts().map { TaskState("j-1/${it.index}", it.attempt, TaskPhase.ENDED, "done") }
        val seq = sent("z").last().seq
        leader.frame(partition("z", seq, view("m1", *ended.toTypedArray())), 2 * SECOND)
        effects.clear()
        leader.tick(2 * SECOND)
        val end = effects.filterIsInstance<LeaderEffect.Finish>().single()
        condition(sent("z").all { it.clears.isEmpty() }) { "cleared before the record was written" }
        leader.finished(end.job, 3 * SECOND)
        leader.tick(4 * SECOND)
        condition(sent("z").last().clears.size == 2 && "j-1" !in leader.jobs) { "not cleared" }
    }

    @Example
    fun `what runs of a cancelled job is stopped and stays counted until it is gone`() {
        val leader = placed()
        val running = starts().map { TaskState("j-1/${it.index}", it.attempt, TaskPhase.RUNNING) }.toTypedArray()
        leader.frame(partition("z", sent("z").last().seq, view("m1", *running)), 2 * SECOND)
        leader.jobClosed("j-1")
        leader.jobAdded(job("j-2"))
        effects.clear()
        leader.tick(3 * SECOND)
        condition(sent("z").last().stops.size == 2) { "not stopped" }
        condition(sent("z").none { it.requests.isNotEmpty() }) { "its cores were given away" }
        leader.frame(partition("z", sent("z").last().seq, view("m1").copy(gone = running.map { it.attempt })), 4 * SECOND)
        leader.tick(4 * SECOND)
        condition(lastAsk().requests.single().job == "j-2") { "its cores were not freed" }
    }

    @Example
    fun `tasks whose job has no record count at the size of their machine`() {
        val leader = leader()
        leader.inherited(inherited("m1"))
        leader.jobAdded(job("j-2"))
        leader.frame(partition("z", 0, view("m1", TaskState("j-9/0", 3, TaskPhase.RUNNING))), SECOND)
        leader.tick(SECOND)
        condition(sent("z").none { it.requests.isNotEmpty() }) { "a stranger's cores were given away" }
    }

    /** Counted, not timed: [looks] are questions for a machine's size, of which whoever goes through all machines asks one each. */
    @Example
    fun `a frame costs by what it tells, also while hundreds of machines are taken over`() {
        for (machines in listOf(400, 1600)) {
            var looks = 0
            val leader =
                LeaderCore(7, 100, assignment, teams, 20 * SECOND, Timers(), ServiceObjectives(emptyList()), {
                    looks++
                    Shape(16.0, 0.0, 64.0)
                }, 10) { effects += it }
            val names = List(machines) { "m$it" }
            leader.inherited(inherited(*names.toTypedArray()))
            leader.jobAdded(job("j-1"))
            for (piece in names.chunked(100)) {
                val last = piece.last() == names.last()
                leader.frame(partition("z", 0, *piece.map { view(it) }.toTypedArray(), whole = last), SECOND)
            }
            condition(leader.complete && looks == 0) { "$looks looks at $machines machines in a takeover" }
            leader.tick(SECOND)
            val before = looks
            condition(before <= machines + 10) { "$before looks at $machines machines in the first turn" }
            repeat(20) {
                leader.frame(partition("z", 0, view("m$it")), SECOND + it * 10_000)
                leader.tick(SECOND + it * 10_000)
            }
            condition(looks == before) { "${looks - before} looks at $machines machines for 20 frames of one" }
        }
    }

    @Example
    fun `attempts rise from leader to leader`() {
        placed()
        condition(starts().all { it.attempt > (6L shl 32) + 0xffff_ffffL }) { "${starts()}" }
    }

    @Example
    fun `one zone jobs keep to the zone they are in and spread jobs to half`() {
        val offers =
            mapOf(
                "y/0" to listOf(HeldSlots("a", 4, 4, false)),
                "z/0" to listOf(HeldSlots("b", 3, 3, false)),
                "z/1" to listOf(HeldSlots("c", 6, 6, false)),
            )
        val zoneOf = { partition: String -> partition.substringBefore('/') }
        val spread = OfferSelection.roomiest(offers, 9, zoneOf) { 5 }
        condition(spread.count { zoneOf(it.partition) == "z" } == 5 && spread.size == 9) { "$spread" }
        condition(OfferSelection.bestZone(offers, zoneOf) == "z") { "not the larger offer" }
    }

    @Example
    fun `a job that waits for others asks for nothing and holds nothing until all of them are recorded as done`() {
        val leader = leader()
        leader.inherited(inherited("m1"))
        val waiting = Job(spec("j-2").copy(needs = listOf("j-1")), 101, 0)
        leader.jobAdded(waiting)
        leader.frame(partition("z", 0, view("m1")), SECOND)
        leader.tick(2 * SECOND)
        condition(sent("z").none { it.requests.isNotEmpty() }) { "asked before all that it needs was done" }
        leader.jobAdded(job("j-3", stamp = 102))
        leader.tick(3 * SECOND)
        condition(lastAsk().requests.single().job == "j-3") { "the other job is held up" }
        leader.frame(partition("z", 1, view("m1"), offers = offer(lastAsk(), "m1", 2)), 3 * SECOND)
        leader.tick(4 * SECOND)
        leader.jobReady(waiting, 4 * SECOND)
        leader.tick(5 * SECOND)
        condition(waiting.placeable && waiting.readyUs == 4 * SECOND) { "not let go" }
        leader.jobReady(waiting, 9 * SECOND)
        condition(waiting.readyUs == 4 * SECOND) { "ready twice" }
    }

    @Example
    fun `room with the image is asked for before any room, but not before what is in more of a hurry`() {
        val serviceObjectives = ServiceObjectives(listOf(Objective(ObjectiveKind.WAIT, "quick", 2 * SECOND)))
        val leader =
            LeaderCore(
                7,
                100,
                assignment,
                mapOf(
                    "red" to teams.getValue("red").copy(coresMax = 99.0),
                ),
                20 * SECOND,
                Timers(),
                serviceObjectives,
                {
                    Shape(16.0, 0.0, 64.0)
                },
                10,
                { SECOND },
            ) { effects += it }
        for ((id, kind) in listOf("j-1" to "quick", "j-2" to "quick", "j-3" to "c")) {
            leader.jobAdded(Job(spec(id).copy(kind = kind), 1, 0))
        }
        leader.frame(partition("z", 0, view("m1")), 5 * SECOND)
        leader.tick(5 * SECOND)
        val requests = lastAsk().requests.sortedBy { it.stamp }
        condition(requests.map { it.imageOnly } == listOf(true, true, false, false, true, false)) { "$requests" }
        condition(requests.takeLast(2).all { it.job == "j-3" }) { "$requests" }
    }

    @Example
    fun `a promise that can't be kept any more does not come first`() {
        val serviceObjectives =
            ServiceObjectives(
                listOf(
                    Objective(ObjectiveKind.WAIT, "c", 15 * SECOND),
                    Objective(
                        ObjectiveKind.FINISHED,
                        "c",
                        90 * SECOND,
                    ),
                ),
            )
        val job = job("j-1")
        val start = StartObjective(15 * SECOND, byTask = true)
        val finish = StartObjective(89 * SECOND, byTask = false)
        condition(serviceObjectives.startObjectives(job, SECOND, 0) == listOf(start, finish)) {
            "${serviceObjectives.startObjectives(job, SECOND, 0)}"
        }
        condition(serviceObjectives.startObjectives(job, SECOND, 20 * SECOND) == listOf(finish)) {
            "${serviceObjectives.startObjectives(
                job,
                SECOND,
                20 * SECOND,
            )}"
        }
        condition(serviceObjectives.startObjectives(job, SECOND, 100 * SECOND).isEmpty()) {
            "${serviceObjectives.startObjectives(
                job,
                SECOND,
                100 * SECOND,
            )}"
        }
    }

    @Example
    fun `a guarantee covers the earliest jobs that fit into it together`() {
        val serviceObjectives = ServiceObjectives(listOf(Objective(ObjectiveKind.GUARANTEE, null, 5 * SECOND)))
        val team = mapOf("red" to Team("red", 12.0, 99.0, 0.0, 9.0))
        val jobs = listOf(Job(spec("j-1"), 1, 30), Job(spec("j-2"), 2, 10), Job(spec("j-3"), 3, 20))
        val within = serviceObjectives.guaranteed(jobs, team).map { it.spec.id }
        condition(within == listOf("j-2")) { "8 of 12 cores are j-2's, with j-3 it would be 16: $within" }
        condition(serviceObjectives.startObjectives(jobs[1], SECOND, 0, guaranteed = true).first().startByUs == 10 + 5 * SECOND) {
            "no promise of it"
        }
    }
}
