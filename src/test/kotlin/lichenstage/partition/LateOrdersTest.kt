package lichenstage.partition

import lichenstage.cluster.PlacementFrame
import lichenstage.cluster.PlacementRequest
import lichenstage.cluster.StartOrder
import lichenstage.common.MILLI
import lichenstage.common.SECOND
import lichenstage.model.JobRequirements
import lichenstage.model.MachineLimits
import lichenstage.model.Shape
import lichenstage.world.RuleChecker
import lichenstage.world.SimulatedJob
import lichenstage.world.SimulatedWorker
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import java.util.Random

/**
 * A direct order that gets no answer and is carried out long after, while the worker's token and session would still match. Seen by
 * users: the start of a task landed 73 s after it was sent, of a job that was cancelled meanwhile.
 */
class LateOrdersTest {
    /** A partition with one worker that reports every 3 s, on virtual time. */
    private class World {
        val job = SimulatedJob("j-1", "red", 1, 4.0, 60 * SECOND, 0)
        val checker = RuleChecker(mapOf("red" to 100.0), CANCEL_US)
        val worker = SimulatedWorker("vm-a1", "a", 8.0, LEASE_US, Random(1), { job }, checker)
        private val ends = FakeJobEnds(CANCEL_US - LEASE_US - 3 * SECOND) { now }
        val partition =
            PartitionCore("a/0", "a", TOKEN, LEASE_US, 3 * SECOND, 0, jobEnds = ends) {
                MachineLimits("type", Shape(8.0, 0.0, 64.0))
            }
        private var sequence = 0L
        private var now = 0L
        private var reportDueUs = 0L
        var probes = 0
            private set

        /** What went out under which token, of answers and direct orders. */
        val fencingTokens = HashSet<Long>()

        /** Orders that were sent and that nobody has answered. */
        private val unanswered = ArrayList<DirectOrder>()

        fun leader(
            requests: List<PlacementRequest> = emptyList(),
            starts: List<StartOrder> = emptyList(),
        ) = partition.onLeaderFrame(PlacementFrame("a/0", 1, ++sequence, 0, 0, requests = requests, starts = starts), now)

        fun runUntil(untilUs: Long) {
            while (now < untilUs) {
                now += STEP_US
                worker.step(now)
                if (now >= reportDueUs) heartbeat()
                partition.tick(now)
                partition.nextProbes(now).forEach { probe ->
                    probes++
                    partition.onProbeResult(probe, worker.orders(probe.fencingToken, worker.agentEpoch, emptyList(), now).heartbeat, now)
                }
            }
        }

        private fun heartbeat() {
            reportDueUs = now + 3 * SECOND
            val heartbeat = worker.heartbeat()
            val answer = partition.onHeartbeat(heartbeat, now) as? HeartbeatOutcome.Accepted ?: return
            fencingTokens += answer.fencingToken
            worker.answered(answer.fencingToken, answer.commands, heartbeat.agentEpoch, now, now)
        }

        /** The start of j-1/0 goes out as a direct order, which is held on its way. */
        fun startHeld(): DirectOrder {
            leader(requests = listOf(PlacementRequest(1, "j-1", JobRequirements(job.shape(), "img"), 1, null, null, true)))
            leader(starts = listOf(StartOrder(1, worker.name, 0, 1)))
            return partition.nextDirectOrders(now).single().also { unanswered += it }
        }

        private fun SimulatedJob.shape() = Shape(cores, 0.0, 1.0)

        fun cancel() {
            ends.end(job.id)
            checker.toldCancelled(job, now)
        }

        /** Nobody waits for the answers any more. */
        fun giveUp() {
            unanswered.forEach { partition.onOrderOutcome(it, OrderOutcome.Indeterminate, now) }
            unanswered.clear()
        }

        /** The order is carried out and answered. */
        fun answer(order: DirectOrder) {
            unanswered -= order
            partition.onOrderOutcome(order, land(order), now)
        }

        /** The held order is carried out where token and session allow it. */
        fun land(order: DirectOrder) = worker.orders(order.fencingToken, order.agentEpoch, order.commands, now)
    }

    /** The job is cancelled between the start's direct order, which is held, and the next report. */
    private fun cancelledWithHeldStart(
        landsAfterUs: Long,
        prepare: World.() -> Unit = {},
    ): World {
        val world = World().apply(prepare)
        world.runUntil(7 * SECOND)
        val order = world.startHeld()
        world.runUntil(7 * SECOND + 500 * MILLI)
        world.cancel()
        world.runUntil(10 * SECOND)
        world.giveUp()
        world.runUntil(7 * SECOND + 500 * MILLI + landsAfterUs)
        world.land(order)
        world.runUntil(20 * SECOND + landsAfterUs)
        return world
    }

    @Example
    fun `a start that was held does not land after its job's cancellation has had its time`() {
        for (landsAfterUs in listOf(CANCEL_US + SECOND, 600 * SECOND)) {
            val world = cancelledWithHeldStart(landsAfterUs)
            assertTrue(world.checker.broken.isEmpty()) { "${world.checker.broken}" }
            assertEquals(0, world.checker.lateStarts) { "it started a task of a cancelled job" }
            assertEquals(2L, world.worker.agentEpoch) { "without a newer token the session must end: ${world.worker.agentEpoch}" }
        }
    }

    @Example
    fun `with a newer token at hand it does not land from seconds after its order was given up, and the machine keeps its lease`() {
        for (landsAfterUs in listOf(6 * SECOND, CANCEL_US + SECOND, 600 * SECOND)) {
            val world = cancelledWithHeldStart(landsAfterUs) { partition.addReservedTokens(TOKEN + 1..TOKEN + 9) }
            assertTrue(world.checker.broken.isEmpty()) { "${world.checker.broken}" }
            assertEquals(0, world.checker.lateStarts) { "it started a task of a cancelled job" }
            assertEquals(1L, world.worker.agentEpoch) { "the machine has lost its lease" }
            assertTrue(world.partition.indeterminateStarts().none()) { "the start is kept" }
            assertEquals(setOf(TOKEN, TOKEN + 1), world.fencingTokens) { "${world.fencingTokens}: one newer token is enough" }
        }
    }

    /** Counted: the guard costs nothing where no order was late. */
    @Example
    fun `a cancellation whose orders were answered sends no probe and uses no token`() {
        val world = World()
        world.partition.addReservedTokens(TOKEN + 1..TOKEN + 9)
        world.runUntil(7 * SECOND)
        val order = world.startHeld()
        world.answer(order)
        val probes = world.probes
        world.cancel()
        world.runUntil(50 * SECOND)
        assertEquals(setOf(TOKEN), world.fencingTokens) { "${world.fencingTokens}" }
        assertEquals(probes, world.probes) { "${world.probes - probes} probes" }
        assertTrue(world.checker.broken.isEmpty() && world.worker.agentEpoch == 1L) { "${world.checker.broken}" }
    }

    @Example
    fun `a start that is wanted still lands when its order was held`() {
        val world = World()
        world.partition.addReservedTokens(TOKEN + 1..TOKEN + 9)
        world.runUntil(7 * SECOND)
        world.startHeld()
        world.runUntil(10 * SECOND)
        world.giveUp()
        world.runUntil(14 * SECOND)
        assertEquals(1, world.checker.running("j-1")) { "not started" }
        assertEquals(setOf(TOKEN), world.fencingTokens) { "${world.fencingTokens}" }
    }

    private companion object {
        const val TOKEN = 5L
        const val LEASE_US = 26 * SECOND
        const val CANCEL_US = 46 * SECOND
        const val STEP_US = 250 * MILLI
    }
}
