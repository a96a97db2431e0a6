package lichenstage.partition

import lichenstage.cluster.LeaderFrame
import lichenstage.cluster.PlacementRequest
import lichenstage.cluster.StartCommand
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
 * Guards against the start of a task of a cancelled job. A direct order is delayed, gets no reply, and arrives while the worker's fencing
 * token and agent epoch still match, so the worker executes it. Users saw a start that was executed 73 s after it was sent, although its
 * job had been cancelled meanwhile.
 */
class LateOrdersTest {
    /** A partition with one worker that sends a heartbeat every 3 s, in virtual time. */
    private class Scenario {
        val job = SimulatedJob("j-1", "red", 1, 4.0, 60 * SECOND, 0)
        val checker = RuleChecker(mapOf("red" to 100.0), CANCELLATION_LIMIT_US)
        val worker = SimulatedWorker("vm-a1", "a", 8.0, LEASE_US, Random(1), { job }, checker)
        private val jobCompletions = FakeJobCompletions(CANCELLATION_LIMIT_US - LEASE_US - 3 * SECOND) { nowUs }
        val partition =
            PartitionCore(PartitionParameters("a/0", "a", TOKEN, LEASE_US, 3 * SECOND, 0), jobCompletions) {
                MachineLimits("type", Resources(8.0, 0.0, 64.0))
            }
        private var sequence = 0L
        private var nowUs = 0L
        private var heartbeatDueUs = 0L
        var probeCount = 0
            private set

        /** The fencing tokens of all replies to heartbeats. */
        val sentFencingTokens = HashSet<Long>()

        /** The orders that were sent and got no reply yet. */
        private val unansweredOrders = ArrayList<DirectOrder>()

        fun sendLeaderFrame(
            requests: List<PlacementRequest> = emptyList(),
            starts: List<StartCommand> = emptyList(),
        ) = partition.onLeaderFrame(LeaderFrame("a/0", 1, ++sequence, 0, 0, requests = requests, starts = starts), nowUs)

        fun runUntil(untilUs: Long) {
            while (nowUs < untilUs) {
                nowUs += STEP_US
                worker.step(nowUs)
                if (nowUs >= heartbeatDueUs) sendHeartbeat()
                partition.tick(nowUs)
                partition.nextProbes(nowUs).forEach { probe ->
                    probeCount++
                    partition.onProbeResult(
                        probe,
                        worker.execute(probe.fencingToken, worker.agentEpoch, emptyList(), nowUs).heartbeat,
                        nowUs,
                    )
                }
            }
        }

        private fun sendHeartbeat() {
            heartbeatDueUs = nowUs + 3 * SECOND
            val heartbeat = worker.createHeartbeat()
            val reply = partition.onHeartbeat(heartbeat, nowUs) as? HeartbeatOutcome.Accepted ?: return
            sentFencingTokens += reply.fencingToken
            worker.onHeartbeatReply(reply.fencingToken, reply.commands, heartbeat.agentEpoch, nowUs, nowUs)
        }

        /** Sends the start of j-1/0 as a direct order that does not reach the worker yet. */
        fun sendDelayedStart(): DirectOrder {
            sendLeaderFrame(requests = listOf(PlacementRequest(1, "j-1", JobRequirements(job.resources(), "img"), 1, null, null, true)))
            sendLeaderFrame(starts = listOf(StartCommand(1, worker.name, 0, 1)))
            return partition.nextDirectOrders(nowUs).single().also { unansweredOrders += it }
        }

        private fun SimulatedJob.resources() = Resources(cores, 0.0, 1.0)

        fun cancelJob() {
            jobCompletions.endJob(job.id)
            checker.onCancellationConfirmed(job, nowUs)
        }

        /** Completes all orders without a reply as indeterminate. */
        fun timeOutOrders() {
            unansweredOrders.forEach { partition.onOrderOutcome(it, OrderOutcome.Indeterminate, nowUs) }
            unansweredOrders.clear()
        }

        /** Lets the worker execute the order and reply to it. */
        fun executeAndReply(order: DirectOrder) {
            unansweredOrders -= order
            partition.onOrderOutcome(order, execute(order), nowUs)
        }

        /** Delivers the order to the worker, which executes it if fencing token and agent epoch match. */
        fun execute(order: DirectOrder) = worker.execute(order.fencingToken, order.agentEpoch, order.commands, nowUs)
    }

    /** Cancels the job after the direct order with its start was sent, and delivers the order [arrivesAfterUs] after the cancellation. */
    private fun cancelWithDelayedStart(
        arrivesAfterUs: Long,
        prepare: Scenario.() -> Unit = {},
    ): Scenario {
        val scenario = Scenario().apply(prepare)
        scenario.runUntil(7 * SECOND)
        val order = scenario.sendDelayedStart()
        scenario.runUntil(7 * SECOND + 500 * MILLI)
        scenario.cancelJob()
        scenario.runUntil(10 * SECOND)
        scenario.timeOutOrders()
        scenario.runUntil(7 * SECOND + 500 * MILLI + arrivesAfterUs)
        scenario.execute(order)
        scenario.runUntil(20 * SECOND + arrivesAfterUs)
        return scenario
    }

    @Example
    fun `a delayed start is not executed after the time limit for its job's cancellation`() {
        for (arrivesAfterUs in listOf(CANCELLATION_LIMIT_US + SECOND, 600 * SECOND)) {
            val scenario = cancelWithDelayedStart(arrivesAfterUs)
            assertTrue(scenario.checker.violations.isEmpty()) { "${scenario.checker.violations}" }
            assertEquals(0, scenario.checker.startsAfterCancellation) { "the worker started a task of a cancelled job" }
            assertEquals(2L, scenario.worker.agentEpoch) { "without a newer token the agent epoch must end: ${scenario.worker.agentEpoch}" }
        }
    }

    @Example
    fun `with a newer token available a delayed start is refused seconds after its order timed out, and the machine keeps its lease`() {
        for (arrivesAfterUs in listOf(6 * SECOND, CANCELLATION_LIMIT_US + SECOND, 600 * SECOND)) {
            val scenario = cancelWithDelayedStart(arrivesAfterUs) { partition.addReservedTokens(TOKEN + 1..TOKEN + 9) }
            assertTrue(scenario.checker.violations.isEmpty()) { "${scenario.checker.violations}" }
            assertEquals(0, scenario.checker.startsAfterCancellation) { "the worker started a task of a cancelled job" }
            assertEquals(1L, scenario.worker.agentEpoch) { "the machine has lost its lease" }
            assertTrue(scenario.partition.indeterminateStarts().none()) { "the start was not removed" }
            assertEquals(setOf(TOKEN, TOKEN + 1), scenario.sentFencingTokens) { "${scenario.sentFencingTokens}: expected one newer token" }
        }
    }

    /** Checks that fencing causes no extra requests if no order is late. */
    @Example
    fun `a cancellation whose orders all got replies sends no probe and uses no newer token`() {
        val scenario = Scenario()
        scenario.partition.addReservedTokens(TOKEN + 1..TOKEN + 9)
        scenario.runUntil(7 * SECOND)
        val order = scenario.sendDelayedStart()
        scenario.executeAndReply(order)
        val probeCount = scenario.probeCount
        scenario.cancelJob()
        scenario.runUntil(50 * SECOND)
        assertEquals(setOf(TOKEN), scenario.sentFencingTokens) { "${scenario.sentFencingTokens}" }
        assertEquals(probeCount, scenario.probeCount) { "${scenario.probeCount - probeCount} probes" }
        assertTrue(scenario.checker.violations.isEmpty() && scenario.worker.agentEpoch == 1L) { "${scenario.checker.violations}" }
    }

    @Example
    fun `a start that is still wanted is executed although its direct order is delayed`() {
        val scenario = Scenario()
        scenario.partition.addReservedTokens(TOKEN + 1..TOKEN + 9)
        scenario.runUntil(7 * SECOND)
        scenario.sendDelayedStart()
        scenario.runUntil(10 * SECOND)
        scenario.timeOutOrders()
        scenario.runUntil(14 * SECOND)
        assertEquals(1, scenario.checker.runningTaskCount("j-1")) { "the task was not started" }
        assertEquals(setOf(TOKEN), scenario.sentFencingTokens) { "${scenario.sentFencingTokens}" }
    }

    private companion object {
        const val TOKEN = 5L
        const val LEASE_US = 26 * SECOND
        const val CANCELLATION_LIMIT_US = 46 * SECOND
        const val STEP_US = 250 * MILLI
    }
}
