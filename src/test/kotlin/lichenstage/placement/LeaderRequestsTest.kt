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

/** Tests the leader's requests, starts, stops, clears and records of tasks. */
class LeaderRequestsTest : LeaderFixture() {
    /**
     * The save command is sent with the next frame. Once the machine lists the task as ended, its progress counts and the task is queued
     * again.
     */
    @Example
    fun `when a machine has a reclaim notice, its tasks with checkpoints are told to save and are queued again`() {
        val spec =
            spec("j-1", tasks = 1).copy(
                estimatedRunTimeUs = 100 * SECOND,
                checkpointIntervalUs = 20 * SECOND,
                checkpointSaveUs =
                    4 * SECOND,
            )
        val job = Job(spec, 101, 0)
        val leader = leaderWithPlacedJob(job)
        val attempt = sentStarts().single().attemptNumber
        val seq = framesTo("z").last().seq

        fun receiveMachineFrame(
            phase: TaskPhase,
            timeUntilReclaimS: Long?,
            nowS: Long,
        ) {
            val cause = if (phase == TaskPhase.ENDED) "halted" else null
            val machine =
                machineState(
                    "m1",
                    TaskState("j-1/0", attempt, phase, cause),
                ).copy(timeUntilReclaimUs = timeUntilReclaimS?.let { it * SECOND })
            leader.onPartitionFrame(partitionFrame("z", seq, machine), nowS * SECOND)
            leader.tick(nowS * SECOND)
        }
        receiveMachineFrame(TaskPhase.RUNNING, null, 2)
        receiveMachineFrame(TaskPhase.RUNNING, 9, 40)
        leader.tick(41 * SECOND)
        assertEquals(listOf(attempt), framesTo("z").flatMap { it.checkpointStops }.map { it.attemptNumber }) { "${framesTo("z").last()}" }
        receiveMachineFrame(TaskPhase.ENDED, 4, 45)
        assertTrue(job.totalSavedProgressUs in 37 * SECOND..39 * SECOND) { "${job.totalSavedProgressUs}" }
        assertTrue(leader.machines.attemptsOn("m1").isEmpty() && job.pendingTasks.size == 1) { "the task is not queued again" }
    }

    @Example
    fun `a start is dropped only if its partition has received it and does not list the attempt`() {
        val leader = leaderWithPlacedJob()
        val seq = framesTo("z").last { it.starts.isNotEmpty() }.seq
        leader.onPartitionFrame(partitionFrame("z", seq - 1, machineState("m1")), 2 * SECOND)
        assertEquals(2, leader.machines.attemptsOn("m1").size) { "dropped because of a frame that was sent before the start was received" }
        leader.onPartitionFrame(
            partitionFrame(
                "z",
                seq,
                machineState("m1", TaskState("j-1/${sentStarts()[0].index}", sentStarts()[0].attemptNumber, TaskPhase.PENDING)),
            ),
            2 * SECOND,
        )
        assertEquals(
            listOf(sentStarts()[0].index),
            leader.machines.attemptsOn("m1").map {
                it.index
            },
        ) { "${leader.machines.attemptsOn("m1").map { it.taskId }}" }
    }

    /**
     * In an earlier version of the service, the sequence number in a partial frame also covers effects that were sent only in a final frame
     * which was lost. A partial frame leaves out machines, so it must not end an attempt that it does not list.
     */
    @Example
    fun `a partial frame that does not list an attempt does not end it`() {
        val leader = leaderWithPlacedJob()
        val seq = framesTo("z").last { it.starts.isNotEmpty() }.seq
        leader.onPartitionFrame(partitionFrame("z", seq, machineState("m2"), isFinal = false), 2 * SECOND)
        leader.onPartitionFrame(partitionFrame("z", seq, machineState("m1"), isFinal = false), 3 * SECOND)
        leader.tick(4 * SECOND)
        assertEquals(2, leader.machines.attemptsOn("m1").size) { "ended by a partial frame, which leaves out machines" }
        leader.onPartitionFrame(partitionFrame("z", seq, machineState("m1")), 5 * SECOND)
        assertTrue(leader.machines.attemptsOn("m1").isEmpty()) { "kept after the final frame" }
    }

    @Example
    fun `when a start is refused because of another attempt on the machine, the other attempt counts, in either listing order`() {
        for (isRefusedFirst in listOf(true, false)) {
            effects.clear()
            val job = job("j-1", tasks = 1)
            val leader = leaderWithPlacedJob(job)
            val attempt = sentStarts().single().attemptNumber
            val seq = framesTo("z").last().seq
            val refused = TaskState("j-1/0", attempt, TaskPhase.ENDED, "busy")
            val otherAttempt = TaskState("j-1/0", attempt - 1, TaskPhase.RUNNING)
            val taskStates = if (isRefusedFirst) arrayOf(refused, otherAttempt) else arrayOf(otherAttempt, refused)
            leader.onPartitionFrame(partitionFrame("z", seq, machineState("m1", *taskStates)), 2 * SECOND)
            assertEquals(
                listOf(attempt - 1),
                leader.machines.attemptsOn("m1").map { it.number },
            ) { "${leader.machines.attemptsOn("m1").map { it.number }}" }
            leader.tick(60 * SECOND)
            assertTrue(
                framesTo("z").none { frame -> frame.stops.any { it.attemptNumber == attempt - 1 } },
            ) { "the running attempt is stopped" }
            leader.onPartitionFrame(
                partitionFrame("z", seq, machineState("m1", refused, otherAttempt.copy(phase = TaskPhase.ENDED, cause = "done"))),
                61 * SECOND,
            )
            assertTrue(job.allTasksDone) { "the end of the running attempt does not count" }
        }
    }

    @Example
    fun `a task on a machine without a record is tracked once the machine is recorded`() {
        val leader = leader()
        leader.addJob(job("j-1", tasks = 1))
        leader.onPartitionFrame(partitionFrame("z", 0, machineState("m1", TaskState("j-1/0", 9, TaskPhase.RUNNING))), SECOND)
        assertTrue(leader.machines.attemptsOn("m1").isEmpty()) { "tracked on a machine without a record" }
        leader.onMachinesRegistered(mapOf("m1" to "z/0"))
        assertEquals(listOf(9L), leader.machines.attemptsOn("m1").map { it.number }) { "not tracked after the machine is recorded" }
    }

    @Example
    fun `under a new owner no attempt ends before the worker has confirmed the new fencing token`() {
        val leader = leaderWithPlacedJob()
        leader.onPartitionFrame(partitionFrame("z", 0, machineState("m1", isTokenConfirmed = false), term = 4), 3 * SECOND)
        assertEquals(2, leader.machines.attemptsOn("m1").size) { "ended before the fencing token is confirmed" }
        leader.onPartitionFrame(partitionFrame("z", 0, machineState("m1"), term = 4), 4 * SECOND)
        assertTrue(leader.machines.attemptsOn("m1").isEmpty()) { "kept after the fencing token is confirmed" }
    }

    @Example
    fun `started tasks count against the limit of the team`() {
        val leader = leaderWithPlacedJob()
        leader.addJob(job("j-2"))
        effects.clear()
        leader.tick(5 * SECOND)
        assertTrue(framesTo("z").none { it.requests.isNotEmpty() }) { "requested beyond the limit of 8 cores" }
    }

    @Example
    fun `a done task is recorded before it is cleared, and the job is closed once its completion is recorded`() {
        val leader = leaderWithPlacedJob()
        val endedTasks = sentStarts().map { TaskState("j-1/${it.index}", it.attemptNumber, TaskPhase.ENDED, "done") }
        val seq = framesTo("z").last().seq
        leader.onPartitionFrame(partitionFrame("z", seq, machineState("m1", *endedTasks.toTypedArray())), 2 * SECOND)
        effects.clear()
        leader.tick(2 * SECOND)
        val completion = effects.filterIsInstance<LeaderEffect.RecordJobCompletion>().single()
        assertTrue(framesTo("z").all { it.clears.isEmpty() }) { "cleared before the record was written" }
        leader.onCompletionRecorded(completion.job, 3 * SECOND)
        leader.tick(4 * SECOND)
        assertTrue(framesTo("z").last().clears.size == 2 && "j-1" !in leader.jobs) { "tasks not cleared or job not closed" }
    }

    @Example
    fun `attempts of a cancelled job are stopped, and count against the limit until they have ended`() {
        val leader = leaderWithPlacedJob()
        val runningTasks = sentStarts().map { TaskState("j-1/${it.index}", it.attemptNumber, TaskPhase.RUNNING) }.toTypedArray()
        leader.onPartitionFrame(partitionFrame("z", framesTo("z").last().seq, machineState("m1", *runningTasks)), 2 * SECOND)
        leader.onJobClosed("j-1")
        leader.addJob(job("j-2"))
        effects.clear()
        leader.tick(3 * SECOND)
        assertEquals(2, framesTo("z").last().stops.size) { "attempts not stopped" }
        assertTrue(framesTo("z").none { it.requests.isNotEmpty() }) { "cores of running attempts were requested again" }
        leader.onPartitionFrame(
            partitionFrame("z", framesTo("z").last().seq, machineState("m1").copy(removedAttempts = runningTasks.map { it.attemptNumber })),
            4 * SECOND,
        )
        leader.tick(4 * SECOND)
        assertEquals("j-2", lastRequestFrame().requests.single().job) { "cores were not released after the attempts had ended" }
    }

    @Example
    fun `attempt numbers increase from leader to leader`() {
        leaderWithPlacedJob()
        assertTrue(sentStarts().all { it.attemptNumber > (6L shl 32) + 0xffff_ffffL }) { "${sentStarts()}" }
    }

    @Example
    fun `a job with open dependencies requests nothing and counts against no limit until all of them are recorded as done`() {
        val leader = leader()
        leader.addRecoveredMachines(recoveredMachines("m1"))
        val blockedJob = Job(spec("j-2").copy(dependencies = listOf("j-1")), 101, 0)
        leader.addJob(blockedJob)
        leader.onPartitionFrame(partitionFrame("z", 0, machineState("m1")), SECOND)
        leader.tick(2 * SECOND)
        assertTrue(framesTo("z").none { it.requests.isNotEmpty() }) { "requested before all its dependencies are done" }
        leader.addJob(job("j-3", createRevision = 102))
        leader.tick(3 * SECOND)
        assertEquals("j-3", lastRequestFrame().requests.single().job) { "the job without dependencies is held up" }
        leader.onPartitionFrame(partitionFrame("z", 1, machineState("m1"), offers = offersFor(lastRequestFrame(), "m1", 2)), 3 * SECOND)
        leader.tick(4 * SECOND)
        leader.onJobReady(blockedJob, 4 * SECOND)
        leader.tick(5 * SECOND)
        assertTrue(blockedJob.isPlaceable && blockedJob.readyAtUs == 4 * SECOND) { "not released" }
        leader.onJobReady(blockedJob, 9 * SECOND)
        assertEquals(4 * SECOND, blockedJob.readyAtUs) { "the second call has changed the time" }
    }

    @Example
    fun `requests for machines with the image come before requests for any machine, but not before those of a more urgent job`() {
        val serviceObjectives = ServiceObjectives(listOf(Objective(ObjectiveKind.WAIT, "quick", 2 * SECOND)))
        val leader =
            leader(
                teams = mapOf("red" to teams.getValue("red").copy(coreLimit = 99.0)),
                objectives = serviceObjectives,
                lookups = LeaderLookups({ Resources(16.0, 0.0, 64.0) }, fetchUs = { SECOND }),
            )
        for ((id, jobClass) in listOf("j-1" to "quick", "j-2" to "quick", "j-3" to "c")) {
            leader.addJob(Job(spec(id).copy(jobClass = jobClass), 1, 0))
        }
        leader.onPartitionFrame(partitionFrame("z", 0, machineState("m1")), 5 * SECOND)
        leader.tick(5 * SECOND)
        val requests = lastRequestFrame().requests.sortedBy { it.requestNumber }
        assertEquals(listOf(true, true, false, false, true, false), requests.map { it.isImageRequired }) { "$requests" }
        assertTrue(requests.takeLast(2).all { it.job == "j-3" }) { "$requests" }
    }
}
