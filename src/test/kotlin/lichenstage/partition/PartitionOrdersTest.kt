package lichenstage.partition

import lichenstage.cluster.AttemptOrder
import lichenstage.cluster.StartOrder
import lichenstage.cluster.TaskPhase
import lichenstage.common.SECOND
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Assertions.assertTrue

/** Commands to workers: when they go out, are repeated, and when nothing of a start can be under way any more. */
internal class PartitionOrdersTest : PartitionFixture() {
    /** Guards against cancelled tasks that run on while starts of a burst take all connections. */
    @Example
    fun `where connections are few, what must stop goes before what may start`() {
        val partition = partition()
        for (name in listOf("m1", "m2")) partition.onHeartbeat(heartbeat(5, machine = name), 1)
        partition.onHeartbeat(heartbeat(5, TaskReport("j-9/0", 9, TaskPhase.RUNNING, null), machine = "m3"), 2)
        partition.nextDirectOrders(2)
        partition.onLeaderFrame(frame(requests = listOf(request(1, 4))), 3)
        val starts = listOf("m1", "m2").mapIndexed { i, name -> StartOrder(1, name, i, 10L + i) }
        partition.onLeaderFrame(frame(starts = starts, stops = listOf(AttemptOrder("m3", "j-9/0", 9))), 4)
        assertTrue(partition.nextDirectOrders(5, limit = 0).isEmpty()) { "sent without a connection" }
        assertEquals(listOf("m3"), partition.nextDirectOrders(5, limit = 1).map { it.machine }) { "the stop was not first" }
        assertEquals(listOf("m1", "m2"), partition.nextDirectOrders(6, limit = 9).map { it.machine }) { "the starts did not follow" }
    }

    @Example
    fun `what ended is cleared only when no repeat of its start can be executed, which a newer token proves and no elapsed time`() {
        for (cause in listOf("done", "error")) {
            val partition = partition()
            val order = started(partition)
            val ended = TaskReport("j-1/0", 1, TaskPhase.ENDED, cause)
            partition.onOrderOutcome(order, OrderOutcome.Answered(true, heartbeat(5, ended)), 2)
            partition.onLeaderFrame(frame(clears = listOf(AttemptOrder("m", "j-1/0", 1))), 3)
            for (now in listOf(9 * SECOND, 29 * LEASE, 31 * LEASE, 1000 * LEASE)) {
                val commands = partition.commands(heartbeat(5, ended), now)
                assertEquals((cause == "done"), commands.any { it is Command.Clear }) { "$cause at $now: $commands" }
            }
            partition.addReservedTokens(6L..9L)
            partition.tick(1001 * LEASE)
            val unshown = partition.commands(heartbeat(5, ended), 1001 * LEASE)
            assertEquals((cause == "done"), unshown.any { it is Command.Clear }) { "$cause before the newer token was shown: $unshown" }
            val shown = partition.commands(heartbeat(if (cause == "done") 5 else 6, ended), 1001 * LEASE + SECOND)
            assertTrue(shown.any { it is Command.Clear }) { "$cause: $shown" }
        }
    }

    /** Guards against a held order that starts a task again after it was done, perhaps of a job that was cancelled since. */
    @Example
    fun `a task that is done although its order got no answer is cleared only under a newer token`() {
        val partition = partition()
        val order = started(partition)
        val done = TaskReport("j-1/0", 1, TaskPhase.ENDED, "done")
        partition.onOrderOutcome(order, OrderOutcome.Indeterminate, 3 * SECOND)
        partition.onProbeResult(StatusProbe("m", "1.2.3.4:5", 5, 1), heartbeat(5, done), 5 * SECOND)
        partition.onLeaderFrame(frame(clears = listOf(AttemptOrder("m", "j-1/0", 1))), 6 * SECOND)
        assertTrue(partition.commands(heartbeat(5, done), 7 * SECOND).isEmpty()) { "cleared while the order may land" }
        partition.addReservedTokens(6L..9L)
        partition.tick(8 * SECOND)
        assertTrue(partition.commands(heartbeat(5, done), 9 * SECOND).isEmpty()) { "cleared before the newer token was shown" }
        assertTrue(partition.commands(heartbeat(6, done), 15 * SECOND).single() is Command.Clear) { "not cleared" }
    }

    @Example
    fun `no clear is sent while the start may still be executed from the answer to a heartbeat`() {
        val partition = partition()
        val order = started(partition)
        val ended = TaskReport("j-1/0", 1, TaskPhase.ENDED, "done")
        assertTrue(partition.commands(heartbeat(5), 10).single() is Command.Start) { "the answer is the sure path" }
        partition.onOrderOutcome(order, OrderOutcome.Answered(true, heartbeat(5, ended)), 11)
        partition.onLeaderFrame(frame(clears = listOf(AttemptOrder("m", "j-1/0", 1))), 12)
        assertTrue(partition.commands(heartbeat(5, ended), SECOND).isEmpty()) { "cleared too early" }
        assertTrue(partition.commands(heartbeat(5, ended), 7 * SECOND).single() is Command.Clear) { "not cleared" }
    }

    @Example
    fun `a checkpoint stop is sent once, and again only when the first one must have been lost`() {
        val partition = running()
        partition.onLeaderFrame(checkpointStopFrame(), SECOND)
        val order = partition.nextDirectOrders(SECOND).single()
        assertEquals(listOf(Command.Stop("j-1/0", 1, 5.0)), order.commands) { "$order" }
        partition.onOrderOutcome(order, OrderOutcome.NotSent, SECOND)
        partition.onLeaderFrame(checkpointStopFrame(), 3 * SECOND)
        assertTrue(partition.commands(heartbeat(5, task(TaskPhase.RUNNING)), 4 * SECOND).isEmpty()) { "a second stop may end the saving" }
        val again = partition.commands(heartbeat(5, task(TaskPhase.RUNNING)), 8 * SECOND)
        assertEquals(listOf(Command.Stop("j-1/0", 1, 5.0)), again) { "$again" }
        assertTrue(partition.commands(heartbeat(5, task(TaskPhase.SAVING)), 20 * SECOND).isEmpty()) { "stopped while it saves" }
        assertTrue(partition.commands(heartbeat(5, task(TaskPhase.ENDED)), 21 * SECOND).isEmpty()) { "stopped after its end" }
    }

    @Example
    fun `a saving task whose job is cancelled is ended by a second stop`() {
        val partition = running()
        partition.onLeaderFrame(checkpointStopFrame(), SECOND)
        partition.nextDirectOrders(SECOND)
        partition.onHeartbeat(heartbeat(5, task(TaskPhase.SAVING)), 2 * SECOND)
        partition.onLeaderFrame(frame(stops = listOf(AttemptOrder("m", "j-1/0", 1))), 2 * SECOND)
        val commands = partition.commands(heartbeat(5, task(TaskPhase.SAVING)), 3 * SECOND)
        assertEquals(listOf(Command.Stop("j-1/0", 1, 0.0)), commands) { "$commands" }
    }

    @Example
    fun `a task with a checkpoint stop without an answer stays counted until its machine's lease has expired`() {
        val partition = running()
        partition.onLeaderFrame(checkpointStopFrame(), SECOND)
        partition.onOrderOutcome(partition.nextDirectOrders(SECOND).single(), OrderOutcome.Indeterminate, 4 * SECOND)
        assertTrue(partition.nextDirectOrders(5 * SECOND).isEmpty()) { "ordered although it does not answer" }

        fun listed(now: Long) =
            partition
                .nextFrame(now)
                ?.machines
                ?.single()
                ?.tasks
                .orEmpty()
        assertEquals(TaskPhase.RUNNING, listed(5 * SECOND).single().phase) { "taken for gone" }
        partition.tick(2 * LEASE)
        assertTrue(onlyMachine(partition, 2 * LEASE).isLost) { "not lost after its lease" }
    }

    @Example
    fun `a machine that does not answer an order is not offered until it answers one, however many heartbeats it sends`() {
        val partition = partition()
        val order = started(partition)
        partition.onOrderOutcome(order, OrderOutcome.Indeterminate, 3 * SECOND)
        partition.onHeartbeat(heartbeat(5), 4 * SECOND)
        partition.onLeaderFrame(frame(requests = listOf(request(2, 1))), 4 * SECOND)
        assertTrue(offered(partition, 4 * SECOND).isEmpty()) { "offered although nothing reaches it" }
        val probe = partition.nextProbes(5 * SECOND).single()
        partition.onProbeResult(probe, heartbeat(5, task(TaskPhase.RUNNING)), 5 * SECOND)
        partition.onLeaderFrame(frame(requests = listOf(request(3, 1))), 5 * SECOND)
        assertEquals(listOf("m"), offered(partition, 5 * SECOND)) { "not offered although it answers again" }
    }

    @Example
    fun `a machine whose lease expired although it was answered has to answer an order first`() {
        val partition = partition()
        started(partition)
        partition.onHeartbeat(heartbeat(5, agentEpoch = 2), 20 * SECOND)
        partition.onLeaderFrame(frame(requests = listOf(request(2, 1))), 20 * SECOND)
        assertTrue(offered(partition, 20 * SECOND).isEmpty()) { "offered" }
        assertEquals(2L, partition.nextProbes(20 * SECOND).single().agentEpoch) { "not asked" }
    }

    @Example
    fun `a start that is no longer wanted and whose order was never sent is removed`() {
        val partition = partition()
        val order = started(partition)
        partition.onLeaderFrame(frame(stops = listOf(AttemptOrder("m", "j-1/0", 1))), 2)
        assertEquals(1, onlyMachine(partition, 2).tasks.size) { "forgotten with an order under way" }
        partition.onOrderOutcome(order, OrderOutcome.NotSent, 3)
        assertTrue(onlyMachine(partition, SECOND).tasks.isEmpty()) { "kept" }
    }

    @Example
    fun `a start of which nothing came back takes its room until its machine shows a newer token, however long that takes`() {
        val partition = partition()
        val order = started(partition)
        partition.onOrderOutcome(order, OrderOutcome.Indeterminate, SECOND)
        partition.onLeaderFrame(frame(stops = listOf(AttemptOrder("m", "j-1/0", 1))), SECOND)

        fun tasks(
            now: Long,
            fencingToken: Long = 5,
        ): Int {
            partition.onHeartbeat(heartbeat(fencingToken), now)
            partition.tick(now)
            return partition
                .nextFrame(now)
                ?.machines
                ?.singleOrNull()
                ?.tasks
                ?.size ?: -1
        }
        assertTrue((1L..50).all { tasks(it * LEASE) != 0 }) { "forgotten while it may land" }
        partition.addReservedTokens(6L..9L)
        assertNotEquals(0, tasks(51 * LEASE)) { "forgotten before the newer token was shown" }
        assertNotEquals(0, tasks(51 * LEASE + SECOND)) { "forgotten before the newer token was shown" }
        assertEquals(0, tasks(51 * LEASE + 2 * SECOND, fencingToken = 6)) { "kept for ever" }
    }

    @Example
    fun `an answer that is malformed, of another machine, an older session or a lower token proves nothing`() {
        val worthless =
            listOf(
                OrderOutcome.Answered(true, null),
                OrderOutcome.Answered(false, null),
                OrderOutcome.Answered(true, heartbeat(5, machine = "other")),
                OrderOutcome.Answered(true, heartbeat(5, agentEpoch = 0)),
                OrderOutcome.Answered(true, heartbeat(4)),
                OrderOutcome.Answered(false, heartbeat(4)),
                OrderOutcome.Answered(false, heartbeat(5)),
            )
        for (answer in worthless) {
            val partition = partition()
            val order = started(partition)
            partition.onLeaderFrame(frame(stops = listOf(AttemptOrder("m", "j-1/0", 1))), 2)
            partition.onOrderOutcome(order, answer, SECOND)
            partition.onHeartbeat(heartbeat(5), SECOND)
            assertFalse(gone(partition, SECOND)) { "$answer" }
            assertEquals(1, partition.indeterminateStarts().count()) { "$answer" }
        }
        val refused = partition()
        val order = started(refused)
        refused.onLeaderFrame(frame(stops = listOf(AttemptOrder("m", "j-1/0", 1))), 2)
        refused.onOrderOutcome(order, OrderOutcome.Answered(false, heartbeat(5, agentEpoch = 2)), SECOND)
        assertTrue(gone(refused, SECOND)) { "refused for its session, and kept" }
    }

    /** A partition that has sent the start of j-1/0 in the answer to a report, and in no other way; returns that report. */
    private fun startedByAnswer(partition: PartitionCore): Heartbeat {
        partition.onHeartbeat(heartbeat(0), 1)
        partition.onHeartbeat(heartbeat(5), 1)
        partition.onLeaderFrame(frame(requests = listOf(request(1, 1))), 1)
        partition.onLeaderFrame(frame(starts = listOf(StartOrder(1, "m", 0, 1))), 1)
        val answered = heartbeat(5)
        assertTrue(partition.commands(answered, SECOND).single() is Command.Start) { "no start in the answer" }
        partition.onLeaderFrame(frame(stops = listOf(AttemptOrder("m", "j-1/0", 1))), SECOND)
        return answered
    }

    private fun gone(
        partition: PartitionCore,
        now: Long,
    ) = partition
        .nextFrame(now)
        ?.machines
        .orEmpty()
        .any { 1L in it.removedAttempts }

    /** Guards against a limit that is exceeded, or a task that runs twice: the worker took the answer, and its reports were lost. */
    @Example
    fun `a start sent in an answer counts until its machine has sent a later heartbeat without it, however long that takes`() {
        val partition = partition()
        val answered = startedByAnswer(partition)
        partition.tick(10 * SECOND)
        assertFalse(gone(partition, 10 * SECOND)) { "given up because time has passed" }
        partition.onHeartbeat(answered, 11 * SECOND)
        partition.tick(11 * SECOND)
        assertFalse(gone(partition, 11 * SECOND)) { "given up for a copy of the report that was answered" }
        val order = DirectOrder("m", "1.2.3.4:5", 5, 1, emptyList())
        partition.onOrderOutcome(order, OrderOutcome.Answered(true, heartbeat(5)), 12 * SECOND)
        partition.tick(12 * SECOND)
        assertFalse(gone(partition, 12 * SECOND)) { "given up for an answer to an order, which may be older than the report's answer" }
        partition.onHeartbeat(heartbeat(5), 13 * SECOND)
        assertTrue(gone(partition, 13 * SECOND)) { "kept although a later report does not list it" }
    }

    @Example
    fun `a start sent in an answer is stopped where the machine shows that it took it`() {
        val partition = partition()
        startedByAnswer(partition)
        partition.tick(10 * SECOND)
        val commands = partition.commands(heartbeat(5, task(TaskPhase.RUNNING)), 11 * SECOND)
        assertEquals(listOf(Command.Stop("j-1/0", 1, 0.0)), commands) { "$commands" }
    }

    @Example
    fun `a partition stops the tasks of a job that it knows to be over and starts no more, whatever its leader says`() {
        val ends = FakeJobCompletions(LEASE) { 0 }
        val partition = partition(jobCompletions = ends)
        started(partition)
        partition.onLeaderFrame(frame(requests = listOf(request(2, 1))), SECOND)
        partition.commands(heartbeat(5, task(TaskPhase.RUNNING)), SECOND)
        ends.end("j-1")
        partition.onLeaderFrame(frame(requests = listOf(request(3, 1)), starts = listOf(StartOrder(2, "m", 1, 2))), 2 * SECOND)
        assertTrue(lastOffer(partition, 2 * SECOND).slots.isEmpty()) { "offered for a job that is over" }
        partition.tick(3 * SECOND)
        val commands = partition.commands(heartbeat(5, task(TaskPhase.RUNNING)), 3 * SECOND)
        assertEquals(listOf(Command.Stop("j-1/0", 1, 0.0)), commands) { "not just stopped: $commands" }
    }
}
