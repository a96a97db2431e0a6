package lichenstage.partition

import lichenstage.cluster.AttemptCommand
import lichenstage.cluster.LeaderFrame
import lichenstage.cluster.PlacementRequest
import lichenstage.cluster.StartCommand
import lichenstage.cluster.TaskEndCause
import lichenstage.common.MILLI
import lichenstage.common.SECOND
import lichenstage.model.JobRequirements
import lichenstage.model.MachineLimits
import lichenstage.model.Resources
import lichenstage.world.RuleChecker
import lichenstage.world.SimulatedJob
import lichenstage.world.SimulatedWorker
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import java.util.Random

/**
 * Guards against a late copy of a direct order that was executed and answered before: the start in it must not start the task again after
 * the attempt was cleared. On another service such copies made a task run on two machines and a cancelled task run again.
 */
class LateCopiesTest {
    /** A partition with one worker that sends a heartbeat every 3 s, in virtual time. Direct orders are answered at once. */
    private class Scenario {
        val job = SimulatedJob("j-1", "red", 2, 4.0, 4 * SECOND, 0)
        val checker = RuleChecker(mapOf("red" to 100.0), CANCELLATION_LIMIT_US)
        val worker = SimulatedWorker("vm-a1", "a", 8.0, LEASE_US, Random(1), { job }, checker)
        private val jobCompletions = FakeJobCompletions(CANCELLATION_LIMIT_US - LEASE_US - 3 * SECOND) { nowUs }
        private var partition = newPartition(TOKEN)
        private var leaderSequence = 0L
        private var heartbeatDueUs = 0L
        var nowUs = 0L
            private set

        /** All direct orders that were sent. */
        val orders = ArrayList<DirectOrder>()

        /** The attempt numbers that the machine lists. */
        val listedAttempts get() = worker.createHeartbeat().tasks.map { it.attemptNumber }

        private fun newPartition(term: Long) =
            PartitionCore(PartitionParameters("a/0", "a", term, LEASE_US, 3 * SECOND, nowUs), jobCompletions) {
                MachineLimits("type", Resources(8.0, 0.0, 64.0))
            }.apply { addReservedTokens(term + 1..term + 20) }

        fun sendLeaderFrame(edit: LeaderFrame.() -> LeaderFrame) =
            partition.onLeaderFrame(LeaderFrame("a/0", 1, ++leaderSequence, 0, 0).edit(), nowUs)

        fun runFor(durationUs: Long) {
            val untilUs = nowUs + durationUs
            while (nowUs < untilUs) {
                nowUs += STEP_US
                worker.step(nowUs)
                if (nowUs >= heartbeatDueUs) sendHeartbeat()
                partition.tick(nowUs)
                for (order in partition.nextDirectOrders(nowUs)) {
                    orders += order
                    partition.onOrderOutcome(order, execute(order), nowUs)
                }
            }
        }

        private fun sendHeartbeat() {
            heartbeatDueUs = nowUs + 3 * SECOND
            val heartbeat = worker.createHeartbeat()
            val reply = partition.onHeartbeat(heartbeat, nowUs) as? HeartbeatOutcome.Accepted ?: return
            worker.onHeartbeatReply(reply.fencingToken, reply.commands, heartbeat.agentEpoch, nowUs, nowUs)
        }

        /** Starts j-1/0 as attempt 1 by a direct order, which is returned. */
        fun startTask(): DirectOrder {
            runFor(7 * SECOND)
            val request = PlacementRequest(1, "j-1", JobRequirements(Resources(4.0, 0.0, 1.0), "img"), 1, null, null, true)
            sendLeaderFrame { copy(requests = listOf(request)) }
            sendLeaderFrame { copy(starts = listOf(StartCommand(1, worker.name, 0, 1))) }
            runFor(SECOND)
            assertEquals(1, checker.runningTaskCount("j-1")) { "the task was not started" }
            return orders.single()
        }

        fun stopTask() {
            sendLeaderFrame { copy(stops = listOf(attempt())) }
            runFor(2 * SECOND)
            assertEquals(0, checker.runningTaskCount("j-1")) { "the task was not stopped" }
        }

        /** Runs until the task is done, and requests its clear as the leader does when the task is recorded as done. */
        fun completeAndClear() {
            runFor(8 * SECOND)
            assertEquals(listOf(TaskEndCause.DONE), worker.createHeartbeat().tasks.map { it.cause })
            requestClear()
        }

        fun requestClear() = sendLeaderFrame { copy(clears = listOf(attempt())) }

        fun attempt() = AttemptCommand(worker.name, "j-1/0", 1)

        fun cancelJob() {
            jobCompletions.endJob(job.id)
            checker.onCancellationConfirmed(job, nowUs)
        }

        /** Replaces the partition's owner by a new one, as after a restart of the controller within a second. */
        fun changeOwner(term: Long) {
            partition = newPartition(term)
            leaderSequence = 0
        }

        /** Delivers a copy of an order to the worker, which executes it if fencing token and agent epoch match. */
        fun execute(order: DirectOrder) = worker.execute(order.fencingToken, order.agentEpoch, order.commands, nowUs)

        fun assertNoStartAfterCancellation(atUs: Long) {
            assertEquals(0, checker.startsAfterCancellation) { "a copy after $atUs us started a task of the cancelled job" }
            assertTrue(checker.violations.isEmpty()) { "${checker.violations}" }
        }
    }

    /** Users count each start after a confirmed cancellation, also of a task that is done and exits as soon as it has its image. */
    @Example
    fun `a copy of the start of a done task does not start it again after its job was cancelled`() {
        for (clearedForUs in listOf(5 * SECOND, 100 * SECOND)) {
            for (afterUs in listOf(SECOND, CANCELLATION_LIMIT_US + SECOND, 600 * SECOND)) {
                val scenario = Scenario()
                val order = scenario.startTask()
                scenario.completeAndClear()
                scenario.runFor(clearedForUs)
                scenario.cancelJob()
                scenario.requestClear()
                scenario.runFor(afterUs)
                scenario.execute(order)
                scenario.runFor(10 * SECOND)
                scenario.assertNoStartAfterCancellation(afterUs)
                assertEquals(1L, scenario.worker.agentEpoch) { "the machine has lost its lease" }
            }
        }
    }

    /** Guards against done tasks that crowd the machines of a busy partition: a complete job cannot be cancelled any more. */
    @Example
    fun `a done task is cleared at once when its job is complete, and otherwise with the next round of newer tokens`() {
        for ((completeJobs, cleared) in mapOf(setOf("j-1") to true, emptySet<String>() to false)) {
            val scenario = Scenario()
            scenario.startTask()
            scenario.completeAndClear()
            scenario.sendLeaderFrame { copy(clears = listOf(scenario.attempt()), completeJobs = completeJobs) }
            scenario.runFor(7 * SECOND)
            assertEquals(cleared, scenario.listedAttempts.isEmpty()) { "after 7 s the machine lists ${scenario.listedAttempts}" }
            scenario.runFor(70 * SECOND)
            assertEquals(emptyList<Long>(), scenario.listedAttempts) { "the task was never cleared" }
        }
    }

    @Example
    fun `a copy of the start of a task that was moved does not start it beside the other machine`() {
        for (clearedForUs in listOf(100 * MILLI, 5 * SECOND, 100 * SECOND, 600 * SECOND)) {
            val scenario = Scenario()
            val order = scenario.startTask()
            scenario.stopTask()
            scenario.requestClear()
            scenario.checker.onTaskStarted("vm-a2", scenario.job, 0, scenario.nowUs)
            scenario.runFor(clearedForUs)
            scenario.execute(order)
            scenario.runFor(10 * SECOND)
            assertTrue(scenario.checker.violations.isEmpty()) { "${scenario.checker.violations}" }
        }
    }

    @Example
    fun `a copy of an order of an owner that was replaced within a second starts nothing, moved or cancelled`() {
        for (afterUs in listOf(100 * MILLI, SECOND, 5 * SECOND, 100 * SECOND)) {
            val scenario = Scenario()
            val order = scenario.startTask()
            scenario.stopTask()
            scenario.changeOwner(TOKEN + 100)
            scenario.checker.onTaskStarted("vm-a2", scenario.job, 0, scenario.nowUs)
            scenario.runFor(afterUs)
            scenario.requestClear()
            scenario.runFor(afterUs)
            scenario.execute(order)
            assertTrue(scenario.checker.violations.isEmpty()) { "${scenario.checker.violations}" }
            scenario.cancelJob()
            scenario.execute(order)
            scenario.runFor(CANCELLATION_LIMIT_US)
            scenario.execute(order)
            assertEquals(0, scenario.checker.startsAfterCancellation) { "a copy started a task of the cancelled job" }
        }
    }

    @Example
    fun `a machine that goes on after a hang within its lease executes no copy that arrived meanwhile`() {
        val scenario = Scenario()
        val order = scenario.startTask()
        scenario.stopTask()
        scenario.requestClear()
        scenario.runFor(100 * SECOND)
        scenario.checker.onTaskStarted("vm-a2", scenario.job, 0, scenario.nowUs)
        scenario.worker.hungUntilUs = scenario.nowUs + 20 * SECOND
        scenario.runFor(20 * SECOND)
        scenario.execute(order)
        scenario.runFor(30 * SECOND)
        assertTrue(scenario.checker.violations.isEmpty()) { "${scenario.checker.violations}" }
    }

    private companion object {
        const val TOKEN = 5L
        const val LEASE_US = 26 * SECOND
        const val CANCELLATION_LIMIT_US = 46 * SECOND
        const val STEP_US = 250 * MILLI
    }
}
