package lichenstage.partition

import lichenstage.cluster.PlacementFrame
import lichenstage.cluster.PlacementRequest
import lichenstage.cluster.StartOrder
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
 * A direct order that gets no answer and is executed long after, while the worker's fencing token and agent epoch would still match. Seen
 * by users: the start of a task was executed 73 s after it was sent, of a job that was cancelled meanwhile.
 */
class LateOrdersTest {
    /** A partition with one worker that sends a heartbeat every 3 s, on virtual time. */
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

        /** What went out under which token, of answers and direct orders. */
        val sentFencingTokens = HashSet<Long>()

        /** Orders that were sent and that nobody has answered. */
        private val unansweredOrders = ArrayList<DirectOrder>()

        fun sendLeaderFrame(
            requests: List<PlacementRequest> = emptyList(),
            starts: List<StartOrder> = emptyList(),
        ) = partition.onLeaderFrame(PlacementFrame("a/0", 1, ++sequence, 0, 0, requests = requests, starts = starts), nowUs)

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
            val heartbeat = worker.heartbeat()
            val reply = partition.onHeartbeat(heartbeat, nowUs) as? HeartbeatOutcome.Accepted ?: return
            sentFencingTokens += reply.fencingToken
            worker.onHeartbeatReply(reply.fencingToken, reply.commands, heartbeat.agentEpoch, nowUs, nowUs)
        }

        /** The start of j-1/0 goes out as a direct order, which is held on its way. */
        fun sendHeldStart(): DirectOrder {
            sendLeaderFrame(requests = listOf(PlacementRequest(1, "j-1", JobRequirements(job.resources(), "img"), 1, null, null, true)))
            sendLeaderFrame(starts = listOf(StartOrder(1, worker.name, 0, 1)))
            return partition.nextDirectOrders(nowUs).single().also { unansweredOrders += it }
        }

        private fun SimulatedJob.resources() = Resources(cores, 0.0, 1.0)

        fun cancelJob() {
            jobCompletions.endJob(job.id)
            checker.onCancellationConfirmed(job, nowUs)
        }

        /** Nobody waits for the answers any more. */
        fun timeOutOrders() {
            unansweredOrders.forEach { partition.onOrderOutcome(it, OrderOutcome.Indeterminate, nowUs) }
            unansweredOrders.clear()
        }

        /** The order is carried out and answered. */
        fun executeAndAnswer(order: DirectOrder) {
            unansweredOrders -= order
            partition.onOrderOutcome(order, execute(order), nowUs)
        }

        /** The held order is carried out where token and session allow it. */
        fun execute(order: DirectOrder) = worker.execute(order.fencingToken, order.agentEpoch, order.commands, nowUs)
    }

    /** The job is cancelled between the start's direct order, which is held, and the next report. */
    private fun cancelWithHeldStart(
        arrivesAfterUs: Long,
        prepare: Scenario.() -> Unit = {},
    ): Scenario {
        val scenario = Scenario().apply(prepare)
        scenario.runUntil(7 * SECOND)
        val order = scenario.sendHeldStart()
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
    fun `a start that was held is not executed after its job's cancellation has had its time`() {
        for (arrivesAfterUs in listOf(CANCELLATION_LIMIT_US + SECOND, 600 * SECOND)) {
            val scenario = cancelWithHeldStart(arrivesAfterUs)
            assertTrue(scenario.checker.violations.isEmpty()) { "${scenario.checker.violations}" }
            assertEquals(0, scenario.checker.startsAfterCancellation) { "it started a task of a cancelled job" }
            assertEquals(2L, scenario.worker.agentEpoch) { "without a newer token the session must end: ${scenario.worker.agentEpoch}" }
        }
    }

    @Example
    fun `with a newer token at hand it is not executed from seconds after its order was given up, and the machine keeps its lease`() {
        for (arrivesAfterUs in listOf(6 * SECOND, CANCELLATION_LIMIT_US + SECOND, 600 * SECOND)) {
            val scenario = cancelWithHeldStart(arrivesAfterUs) { partition.addReservedTokens(TOKEN + 1..TOKEN + 9) }
            assertTrue(scenario.checker.violations.isEmpty()) { "${scenario.checker.violations}" }
            assertEquals(0, scenario.checker.startsAfterCancellation) { "it started a task of a cancelled job" }
            assertEquals(1L, scenario.worker.agentEpoch) { "the machine has lost its lease" }
            assertTrue(scenario.partition.indeterminateStarts().none()) { "the start is kept" }
            assertEquals(setOf(TOKEN, TOKEN + 1), scenario.sentFencingTokens) { "${scenario.sentFencingTokens}: one newer token is enough" }
        }
    }

    /** Counted: the guard costs nothing where no order was late. */
    @Example
    fun `a cancellation whose orders were answered sends no probe and uses no token`() {
        val scenario = Scenario()
        scenario.partition.addReservedTokens(TOKEN + 1..TOKEN + 9)
        scenario.runUntil(7 * SECOND)
        val order = scenario.sendHeldStart()
        scenario.executeAndAnswer(order)
        val probeCount = scenario.probeCount
        scenario.cancelJob()
        scenario.runUntil(50 * SECOND)
        assertEquals(setOf(TOKEN), scenario.sentFencingTokens) { "${scenario.sentFencingTokens}" }
        assertEquals(probeCount, scenario.probeCount) { "${scenario.probeCount - probeCount} probes" }
        assertTrue(scenario.checker.violations.isEmpty() && scenario.worker.agentEpoch == 1L) { "${scenario.checker.violations}" }
    }

    @Example
    fun `a start that is wanted is still executed when its order was held`() {
        val scenario = Scenario()
        scenario.partition.addReservedTokens(TOKEN + 1..TOKEN + 9)
        scenario.runUntil(7 * SECOND)
        scenario.sendHeldStart()
        scenario.runUntil(10 * SECOND)
        scenario.timeOutOrders()
        scenario.runUntil(14 * SECOND)
        assertEquals(1, scenario.checker.runningTaskCount("j-1")) { "not started" }
        assertEquals(setOf(TOKEN), scenario.sentFencingTokens) { "${scenario.sentFencingTokens}" }
    }

    private companion object {
        const val TOKEN = 5L
        const val LEASE_US = 26 * SECOND
        const val CANCELLATION_LIMIT_US = 46 * SECOND
        const val STEP_US = 250 * MILLI
    }
}
