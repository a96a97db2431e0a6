package lichenstage.placement

import lichenstage.cluster.HeldSlots
import lichenstage.cluster.TaskPhase
import lichenstage.cluster.TaskState
import lichenstage.common.SECOND
import lichenstage.config.Objective
import lichenstage.config.ObjectiveKind
import lichenstage.model.Resources
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

/** What the leader asks for, starts, gives up and has recorded. */
class LeaderRequestsTest : LeaderFixture() {
    /** The order goes out with the next frame, the progress counts once the task is seen stopped, and the task is queued again. */
    @Example
    fun `when a machine has a spot notice then its tasks with checkpoints are ordered to save, and go on elsewhere`() {
        val spec =
            spec("j-1", tasks = 1).copy(
                estimatedRunTimeUs = 100 * SECOND,
                checkpointIntervalUs = 20 * SECOND,
                checkpointSaveUs =
                    4 * SECOND,
            )
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
            val machine = view("m1", TaskState("j-1/0", attempt, phase, cause)).copy(timeUntilReclaimUs = recallS?.let { it * SECOND })
            leader.partitionFrameReceived(partition("z", seq, machine), nowS * SECOND)
            leader.tick(nowS * SECOND)
        }
        shown(TaskPhase.RUNNING, null, 2)
        shown(TaskPhase.RUNNING, 9, 40)
        leader.tick(41 * SECOND)
        assertEquals(listOf(attempt), sent("z").flatMap { it.saves }.map { it.attempt }) { "${sent("z").last()}" }
        shown(TaskPhase.ENDED, 4, 45)
        assertTrue(job.totalSavedUs in 37 * SECOND..39 * SECOND) { "${job.totalSavedUs}" }
        assertTrue(leader.machines.attemptsOn("m1").isEmpty() && job.pending.size == 1) { "not queued again" }
    }

    @Example
    fun `a start is dropped only when its partition has received it and does not list it`() {
        val leader = placed()
        val seq = sent("z").last { it.starts.isNotEmpty() }.seq
        leader.partitionFrameReceived(partition("z", seq - 1, view("m1")), 2 * SECOND)
        assertEquals(2, leader.machines.attemptsOn("m1").size) { "given up by a frame from before it" }
        leader.partitionFrameReceived(
            partition("z", seq, view("m1", TaskState("j-1/${starts()[0].index}", starts()[0].attempt, TaskPhase.PENDING))),
            2 * SECOND,
        )
        assertEquals(
            listOf(starts()[0].index),
            leader.machines.attemptsOn("m1").map {
                it.index
            },
        ) { "${leader.machines.attemptsOn("m1").map { it.task }}" }
    }

    /** A version before this one says in pieces what it told in whole frames that were lost. */
    @Example
    fun `a piece of a frame ends no attempt, whatever it claims`() {
        val leader = placed()
        val seq = sent("z").last { it.starts.isNotEmpty() }.seq
        leader.partitionFrameReceived(partition("z", seq, view("m2"), whole = false), 2 * SECOND)
        leader.partitionFrameReceived(partition("z", seq, view("m1"), whole = false), 3 * SECOND)
        leader.tick(4 * SECOND)
        assertEquals(2, leader.machines.attemptsOn("m1").size) { "given up by a frame that leaves out machines" }
        leader.partitionFrameReceived(partition("z", seq, view("m1")), 5 * SECOND)
        assertTrue(leader.machines.attemptsOn("m1").isEmpty()) { "kept although all is told" }
    }

    @Example
    fun `when a start is refused for another attempt on the machine then that one counts, in whatever order they are listed`() {
        for (refusedFirst in listOf(true, false)) {
            effects.clear()
            val job = job("j-1", tasks = 1)
            val leader = placed(job)
            val attempt = starts().single().attempt
            val seq = sent("z").last().seq
            val refused = TaskState("j-1/0", attempt, TaskPhase.ENDED, "busy")
            val other = TaskState("j-1/0", attempt - 1, TaskPhase.RUNNING)
            val rows = if (refusedFirst) arrayOf(refused, other) else arrayOf(other, refused)
            leader.partitionFrameReceived(partition("z", seq, view("m1", *rows)), 2 * SECOND)
            assertEquals(
                listOf(attempt - 1),
                leader.machines.attemptsOn("m1").map { it.number },
            ) { "${leader.machines.attemptsOn("m1").map { it.number }}" }
            leader.tick(60 * SECOND)
            assertTrue(sent("z").none { frame -> frame.stops.any { it.attempt == attempt - 1 } }) { "the one that runs is stopped" }
            leader.partitionFrameReceived(
                partition("z", seq, view("m1", refused, other.copy(phase = TaskPhase.ENDED, cause = "done"))),
                61 * SECOND,
            )
            assertTrue(job.allTasksDone) { "its end does not count" }
        }
    }

    @Example
    fun `a task on a machine that is recorded only later is tracked from then on`() {
        val leader = leader()
        leader.jobAdded(job("j-1", tasks = 1))
        leader.partitionFrameReceived(partition("z", 0, view("m1", TaskState("j-1/0", 9, TaskPhase.RUNNING))), SECOND)
        assertTrue(leader.machines.attemptsOn("m1").isEmpty()) { "believed of a machine without record" }
        leader.machinesRegistered(mapOf("m1" to "z/0"))
        assertEquals(listOf(9L), leader.machines.attemptsOn("m1").map { it.number }) { "not looked at again" }
    }

    @Example
    fun `under a new owner no attempt ends before the worker has shown the new fencing token`() {
        val leader = placed()
        leader.partitionFrameReceived(partition("z", 0, view("m1", tokenConfirmed = false), term = 4), 3 * SECOND)
        assertEquals(2, leader.machines.attemptsOn("m1").size) { "given up too early" }
        leader.partitionFrameReceived(partition("z", 0, view("m1"), term = 4), 4 * SECOND)
        assertTrue(leader.machines.attemptsOn("m1").isEmpty()) { "kept" }
    }

    @Example
    fun `limits count what is started`() {
        val leader = placed()
        leader.jobAdded(job("j-2"))
        effects.clear()
        leader.tick(5 * SECOND)
        assertTrue(sent("z").none { it.requests.isNotEmpty() }) { "asked beyond the limit of 8 cores" }
    }

    @Example
    fun `a done task is recorded before it is cleared, and the job is closed only with its record`() {
        val leader = placed()
        val ended = starts().map { TaskState("j-1/${it.index}", it.attempt, TaskPhase.ENDED, "done") }
        val seq = sent("z").last().seq
        leader.partitionFrameReceived(partition("z", seq, view("m1", *ended.toTypedArray())), 2 * SECOND)
        effects.clear()
        leader.tick(2 * SECOND)
        val end = effects.filterIsInstance<LeaderEffect.RecordCompletion>().single()
        assertTrue(sent("z").all { it.clears.isEmpty() }) { "cleared before the record was written" }
        leader.completionRecorded(end.job, 3 * SECOND)
        leader.tick(4 * SECOND)
        assertTrue(sent("z").last().clears.size == 2 && "j-1" !in leader.jobs) { "not cleared" }
    }

    @Example
    fun `attempts of a cancelled job are stopped and count until they have ended`() {
        val leader = placed()
        val running = starts().map { TaskState("j-1/${it.index}", it.attempt, TaskPhase.RUNNING) }.toTypedArray()
        leader.partitionFrameReceived(partition("z", sent("z").last().seq, view("m1", *running)), 2 * SECOND)
        leader.jobClosed("j-1")
        leader.jobAdded(job("j-2"))
        effects.clear()
        leader.tick(3 * SECOND)
        assertEquals(2, sent("z").last().stops.size) { "not stopped" }
        assertTrue(sent("z").none { it.requests.isNotEmpty() }) { "its cores were given away" }
        leader.partitionFrameReceived(
            partition("z", sent("z").last().seq, view("m1").copy(removedAttempts = running.map { it.attempt })),
            4 * SECOND,
        )
        leader.tick(4 * SECOND)
        assertEquals("j-2", lastAsk().requests.single().job) { "its cores were not freed" }
    }

    @Example
    fun `attempts rise from leader to leader`() {
        placed()
        assertTrue(starts().all { it.attempt > (6L shl 32) + 0xffff_ffffL }) { "${starts()}" }
    }

    @Example
    fun `a job with open dependencies requests nothing and counts for no limit until all of them are recorded as done`() {
        val leader = leader()
        leader.addRecoveredMachines(recoveredMachines("m1"))
        val waiting = Job(spec("j-2").copy(dependencies = listOf("j-1")), 101, 0)
        leader.jobAdded(waiting)
        leader.partitionFrameReceived(partition("z", 0, view("m1")), SECOND)
        leader.tick(2 * SECOND)
        assertTrue(sent("z").none { it.requests.isNotEmpty() }) { "asked before all that it needs was done" }
        leader.jobAdded(job("j-3", createRevision = 102))
        leader.tick(3 * SECOND)
        assertEquals("j-3", lastAsk().requests.single().job) { "the other job is held up" }
        leader.partitionFrameReceived(partition("z", 1, view("m1"), offers = offer(lastAsk(), "m1", 2)), 3 * SECOND)
        leader.tick(4 * SECOND)
        leader.jobReady(waiting, 4 * SECOND)
        leader.tick(5 * SECOND)
        assertTrue(waiting.placeable && waiting.readyUs == 4 * SECOND) { "not let go" }
        leader.jobReady(waiting, 9 * SECOND)
        assertEquals(4 * SECOND, waiting.readyUs) { "ready twice" }
    }

    @Example
    fun `room with the image is asked for before any room, but not before what is in more of a hurry`() {
        val serviceObjectives = ServiceObjectives(listOf(Objective(ObjectiveKind.WAIT, "quick", 2 * SECOND)))
        val leader =
            leader(
                teams = mapOf("red" to teams.getValue("red").copy(coresMax = 99.0)),
                objectives = serviceObjectives,
                lookups = LeaderLookups({ Resources(16.0, 0.0, 64.0) }, fetchUs = { SECOND }),
            )
        for ((id, jobClass) in listOf("j-1" to "quick", "j-2" to "quick", "j-3" to "c")) {
            leader.jobAdded(Job(spec(id).copy(jobClass = jobClass), 1, 0))
        }
        leader.partitionFrameReceived(partition("z", 0, view("m1")), 5 * SECOND)
        leader.tick(5 * SECOND)
        val requests = lastAsk().requests.sortedBy { it.requestNumber }
        assertEquals(listOf(true, true, false, false, true, false), requests.map { it.isImageRequired }) { "$requests" }
        assertTrue(requests.takeLast(2).all { it.job == "j-3" }) { "$requests" }
    }
}
