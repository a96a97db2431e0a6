package lichenstage.drain

import kotlinx.collections.immutable.toPersistentMap
import lichenstage.common.SECOND
import lichenstage.drain.FakeCluster.Companion.task
import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import java.util.Random

/** What drains do next, step by step. */
class DrainCoreTest {
    private val cluster = FakeCluster()
    private var nowUs = 1_000 * SECOND

    private fun core(
        policy: DrainPolicy = DrainPolicy(DisruptionBudget(jobs = 1)),
        state: DrainState = DrainState(),
    ) = DrainCore(policy, cluster, state, 300)

    private fun drain(
        name: String = "d",
        maxConcurrent: Int = 1,
        replace: Boolean = false,
        status: DrainStatus = DrainStatus.RUNNING,
        requestedUs: Long = 0,
    ) = Drain(name, replace, maxConcurrent, status, null, requestedUs, null)

    private fun machines(
        vararg names: String,
        drain: String = "d",
    ) = names.map { DrainedMachine(it, drain, Stage.WAITING, nowUs) }

    /** One step with its record written, after as long as a cordon needs; returns what was done. */
    private fun DrainCore.go(
        afterS: Long = 3,
        hour: Int = 12,
    ): List<DrainAction> {
        nowUs += afterS * SECOND
        return if (step(nowUs, hour) == null) emptyList() else stateRecorded(true)
    }

    private fun List<DrainAction>.interrupted() = filterIsInstance<DrainAction.EvictTasks>().flatMap { it.tasks }.map { it.task }

    private fun DrainCore.stage(
        machine: String,
        drain: String = "d",
    ) = state.machines.getValue(DrainKey(drain, machine)).stage

    @Example
    fun `the idle machine goes first, then the one whose tasks end soonest, then the one that loses least`() {
        cluster.machine("m1", task(1, remainingS = 300, lostS = 10))
        cluster.machine("m2", task(2, remainingS = 300, lostS = 5))
        cluster.machine("m3", task(3, remainingS = 30))
        cluster.machine("m4")
        val core = core(DrainPolicy(DisruptionBudget(jobs = 0)))
        core.updateDrains(listOf(drain()), machines("m1", "m2", "m3", "m4"))
        val order = ArrayList<String>()
        repeat(60) {
            core.go()
            for (name in core.cordoned - order.toSet()) order += name
            order.forEach { name ->
                if (core.stage(name) == Stage.EMPTIED) cluster.conditions[name] = MachineCondition.GONE else cluster.tasks[name]?.clear()
            }
        }
        assertEquals(listOf("m4", "m3", "m2", "m1"), order) { "$order" }
        assertTrue(core.go().none { it is DrainAction.EvictTasks }) { "interrupted" }
    }

    @Example
    fun `an interruption is recorded before its task is stopped, and nothing is done where that fails`() {
        cluster.machine("m1", task(1))
        val core = core()
        core.updateDrains(listOf(drain()), machines("m1"))
        core.go()
        nowUs += 3 * SECOND
        val next = core.step(nowUs, 12)!!
        assertTrue(TaskId("j-1", 0) in next.interruptions && core.state.interruptions.isEmpty()) { "$next" }
        assertNull(core.step(nowUs, 12)) { "a step while one is being recorded" }
        assertTrue(core.stateRecorded(false).isEmpty() && core.state.interruptions.isEmpty()) { "done without a record" }
        assertEquals(listOf(TaskId("j-1", 0)), core.go().interrupted()) { "not tried again" }
    }

    @Example
    fun `what fails by itself uses up the budget, and its return frees it`() {
        cluster.machine("m1", task(1))
        cluster.machine("m2", task(2))
        val core = core()
        core.updateDrains(listOf(drain(maxConcurrent = 2)), machines("m1", "m2"))
        val failed = task(3)
        cluster.machine("m3", failed)
        cluster.stop(failed.task)
        core.taskLost(Interruption(failed.task, failed.attempt, "red", InterruptionCause.FAILURE, nowUs))
        repeat(3) { assertTrue(core.go().interrupted().isEmpty()) { "beside a job that failed" } }
        cluster.restart("m3", failed, 2)
        core.go()
        val first = core.go().interrupted()
        assertEquals(1, first.size) { "$first" }
        cluster.stop(first.single())
        repeat(3) { assertTrue(core.go().interrupted().isEmpty()) { "a second job" } }
        assertEquals(first.toSet(), core.state.interruptions.keys) { "${core.state.interruptions}" }
    }

    /** A zone of some hundred machines loses thousands of tasks at once, more than were remembered, and more than can be recorded. */
    @Example
    fun `nothing is interrupted while any of thousands of lost tasks waits`() {
        cluster.machine("m1", task(1))
        val core = core()
        core.updateDrains(listOf(drain()), machines("m1"))
        val failed = List(2_500) { task(2 + it) }
        failed.forEach { cluster.waiting += it.task }
        failed.forEach { core.taskLost(Interruption(it.task, it.attempt, "red", InterruptionCause.FAILURE, nowUs)) }
        repeat(3) { assertTrue(core.go().interrupted().isEmpty()) { "beside all of them" } }
        cluster.waiting.retainAll(setOf(failed.last().task))
        repeat(5) { assertTrue(core.go().interrupted().isEmpty()) { "beside the last of them" } }
        cluster.waiting.clear()
        val first = (1..3).flatMap { core.go().interrupted() }
        assertEquals(setOf(TaskId("j-1", 0)), first.toSet()) { "$first once all run again" }
    }

    @Example
    fun `a new leader counts what the one before it announced, and stops it again`() {
        cluster.machine("m1", task(1))
        cluster.machine("m2", task(2))
        val before = core()
        before.updateDrains(listOf(drain(maxConcurrent = 2)), machines("m1", "m2"))
        before.go()
        nowUs += 3 * SECOND
        val announced =
            before
                .step(nowUs, 12)!!
                .interruptions.keys
                .single()
        val next = DrainState(before.state.machines, before.state.interruptions)
        val recorded = next.copy(interruptions = mapOf(announced to row(announced)).toPersistentMap())
        val core = core(state = recorded)
        core.updateDrains(listOf(drain(maxConcurrent = 2)), emptyList())
        assertEquals(listOf(announced), core.go().interrupted()) { "not stopped again, or another one besides" }
    }

    private fun row(task: TaskId) = Interruption(task, 1, "red", InterruptionCause.DRAIN, nowUs)

    @Example
    fun `a budget that is changed while a drain goes on holds from then on, for what is interrupted already too`() {
        listOf("m1", "m2", "m3", "m4").forEachIndexed { i, name -> cluster.machine(name, task(i)) }
        val before = core(DrainPolicy(DisruptionBudget(jobs = 2)))
        before.updateDrains(listOf(drain(maxConcurrent = 4)), machines("m1", "m2", "m3", "m4"))
        before.go()
        val first = before.go().interrupted()
        assertEquals(2, first.size) { "$first" }
        first.forEach(cluster::stop)
        val tighter = core(DrainPolicy(DisruptionBudget(jobs = 1)), before.state)
        tighter.updateDrains(listOf(drain(maxConcurrent = 4)), emptyList())
        repeat(3) { assertTrue(tighter.go().interrupted().isEmpty()) { "beside two" } }
        val looser = core(DrainPolicy(DisruptionBudget(jobs = 3)), tighter.state)
        looser.updateDrains(listOf(drain(maxConcurrent = 4)), emptyList())
        assertEquals(1, looser.go().interrupted().size) { "not one more" }
    }

    @Example
    fun `tasks near their end, of classes that are never interrupted, and out of hours are waited for`() {
        cluster.machine("m1", task(1, remainingS = 10), task(2, jobClass = "invoices"))
        val budget = DisruptionBudget(jobs = 5, hours = Hours(22, 6), neverClasses = setOf("invoices"))
        val core = core(DrainPolicy(budget))
        core.updateDrains(listOf(drain()), machines("m1"))
        repeat(3) { assertTrue(core.go(hour = 23).interrupted().isEmpty()) { "interrupted" } }
        cluster.tasks.getValue("m1") += task(3)
        assertTrue(core.go(hour = 12).interrupted().isEmpty()) { "out of hours" }
        assertEquals(listOf(TaskId("j-3", 0)), core.go(hour = 23).interrupted()) { "not within hours" }
    }

    @Example
    fun `a share is of what runs and is interrupted, rounded down`() {
        val tasks = (0 until 10).map { task(1, it) }
        cluster.machine("m1", *tasks.toTypedArray())
        val core = core(DrainPolicy(DisruptionBudget(share = 0.25)))
        core.updateDrains(listOf(drain()), machines("m1"))
        core.go()
        val first = core.go().interrupted()
        assertEquals(2, first.size) { "$first" }
        first.forEach(cluster::stop)
        assertTrue(core.go().interrupted().isEmpty()) { "a third of ten" }
        val small = FakeCluster.task(9)
        assertFalse(
            BudgetCheck(DrainPolicy(DisruptionBudget(share = 0.25)), mapOf("red" to 3), 0, emptyList()).take(small),
        ) { "one of three" }
    }

    @Example
    fun `a machine is emptied only once another has taken its place and completed a start`() {
        cluster.machine("m1", task(1))
        val core = core()
        core.updateDrains(listOf(drain(replace = true)), machines("m1"))
        assertEquals(listOf(DrainAction.ProvisionReplacement(DrainKey("d", "m1"))), core.go()) { "no machine asked for" }
        repeat(5) { assertTrue(core.go().isEmpty() && core.cordoned.isEmpty()) { "asked twice, or cordoned" } }
        core.replacementProvisioned(DrainKey("d", "m1"), "n1")
        core.go()
        assertTrue(core.onProbation == setOf("n1") && core.surplusReplacements == setOf("n1")) { "${core.onProbation}" }
        cluster.machine("n1")
        core.go()
        assertTrue(core.cordoned.isEmpty()) { "cordoned before the other has started anything" }
        cluster.tasks.getValue("n1") += task(2)
        core.go()
        assertTrue(core.cordoned == setOf("m1") && core.onProbation.isEmpty()) { "${core.cordoned}" }
        assertEquals(listOf(TaskId("j-1", 0)), core.go().interrupted()) { "not emptied" }
        cluster.stop(TaskId("j-1", 0))
        assertTrue(DrainAction.Terminate("m1") in core.go()) { "not given back" }
        cluster.conditions["m1"] = MachineCondition.GONE
        core.go()
        assertEquals(Stage.REPLACED, core.stage("m1")) { "${core.stage("m1")}" }
    }

    @Example
    fun `replacements that fail are given back and asked for with a growing pause, and then the drain pauses by itself`() {
        cluster.machine("m1", task(1))
        val core = core(DrainPolicy(replacementFailures = 3))
        core.updateDrains(listOf(drain(replace = true)), machines("m1"))
        val asked = ArrayList<Long>()
        var pause: DrainAction.Pause? = null
        repeat(1_000) {
            for (act in core.go()) {
                if (act is DrainAction.ProvisionReplacement) {
                    asked += nowUs
                    core.replacementProvisioned(act.key, "n${asked.size}")
                    cluster.machine("n${asked.size}")
                    cluster.faulty += "n${asked.size}"
                }
                if (act is DrainAction.Terminate) assertTrue(act.machine.startsWith("n")) { "$act" }
                if (act is DrainAction.Pause && pause == null) pause = act
            }
            pause?.let { core.updateDrains(listOf(drain(replace = true, status = DrainStatus.PAUSED)), emptyList()) }
        }
        assertTrue(asked.size == 3 && asked[2] - asked[1] > asked[1] - asked[0]) { "asked at $asked" }
        assertEquals(true, pause?.reason?.contains("n3")) { "$pause" }
        assertTrue(core.cordoned.isEmpty() && core.onProbation.isEmpty()) { "goes on although it is paused" }
    }

    @Example
    fun `one that never comes up counts as failed, and a refused hire is waited for`() {
        cluster.machine("m1", task(1))
        val core = core()
        core.updateDrains(listOf(drain(replace = true)), machines("m1"))
        core.go()
        repeat(150) { assertTrue(core.go().isEmpty()) { "did something without a machine" } }
        core.replacementProvisioned(DrainKey("d", "m1"), "n1")
        core.go()
        val actions = (1..150).flatMap { core.go() }
        assertTrue(
            actions.first() == DrainAction.Terminate("n1") && actions.count { it is DrainAction.ProvisionReplacement } == 1,
        ) { "$actions" }
    }

    @Example
    fun `of two drains over a machine the first empties it, and the second finds it gone`() {
        cluster.machine("m1")
        cluster.machine("m2", task(1))
        val core = core()
        core.updateDrains(
            listOf(drain("late", requestedUs = 2), drain("early", requestedUs = 1)),
            machines("m1", drain = "early") + machines("m1", "m2", drain = "late"),
        )
        core.go()
        assertTrue(core.stage("m1", "early") == Stage.CORDONED && core.stage("m1", "late") == Stage.WAITING) { "${core.state.machines}" }
        assertEquals(Stage.CORDONED, core.stage("m2", "late")) { "the second drain waits for nothing" }
        core.go()
        cluster.conditions["m1"] = MachineCondition.GONE
        core.go()
        assertTrue(core.stage("m1", "early") == Stage.GONE && core.stage("m1", "late") == Stage.GONE) { "${core.state.machines}" }
        assertTrue(core.go().none { it is DrainAction.Finish }) { "asked to finish twice" }
    }

    @Example
    fun `a machine that is lost before it is empty is told as failed, and a drain that is over is finished once`() {
        cluster.machine("m1", task(1, remainingS = 10))
        val core = core()
        core.updateDrains(listOf(drain()), machines("m1"))
        core.go()
        cluster.conditions["m1"] = MachineCondition.LOST
        val actions = (1..5).flatMap { core.go() }
        assertTrue(core.stage("m1") == Stage.FAILED && actions == listOf(DrainAction.Finish("d"))) { "$actions" }
    }

    @Example
    fun `nothing is done while machines of an earlier leader are not accounted for`() {
        cluster.machine("m1")
        cluster.isComplete = false
        val core = core()
        core.updateDrains(listOf(drain()), machines("m1"))
        assertNull(core.step(nowUs, 0)) { "a step of a leader that knows too little" }
    }

    /** Whatever runs where, never more is interrupted than all budgets allow together. */
    @Property(tries = 200, seed = "22")
    fun `no plan goes over a budget`(
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        val teams = listOf("red", "blue")
        val policy =
            DrainPolicy(
                DisruptionBudget(jobs = random.nextInt(3)),
                mapOf("blue" to DisruptionBudget(share = random.nextInt(5) / 10.0)),
            )
        repeat(6) { m ->
            val tasks =
                List(random.nextInt(6)) {
                    task(
                        random.nextInt(5),
                        m * 10 + it,
                        teams[random.nextInt(2)],
                        20 + random.nextInt(200).toLong(),
                    )
                }
            // A job has one team.
            cluster.machine("m$m", *tasks.map { it.copy(task = TaskId("${it.task.job}-${it.team}", it.task.index)) }.toTypedArray())
        }
        val core = core(policy)
        core.updateDrains(listOf(drain(maxConcurrent = 1 + random.nextInt(6))), machines("m0", "m1", "m2", "m3", "m4", "m5"))
        repeat(40) {
            core.go().interrupted().forEach { if (random.nextInt(3) > 0) cluster.stop(it) }
            val red =
                core.state.interruptions.values
                    .filter { it.team == "red" }
            assertTrue(red.map { it.task.job }.distinct().size <= policy.default.jobs!!) { "seed $seed: $red" }
            val blue =
                core.state.interruptions.values
                    .count { it.team == "blue" }
            val all =
                cluster.tasks.values
                    .flatten()
                    .count { it.team == "blue" } + cluster.waiting.count { it.job.endsWith("blue") }
            assertTrue(blue <= policy.of("blue").share!! * all + 1e-9) { "seed $seed: $blue of $all" }
            cluster.waiting.toList().filter { random.nextInt(4) == 0 }.forEach { back ->
                cluster.restart(
                    "m${random.nextInt(6)}",
                    RunningTask(back, 1, back.job.substringAfterLast('-'), "batch", true, 90 * SECOND, 0),
                    2 + it.toLong(),
                )
            }
        }
    }
}
