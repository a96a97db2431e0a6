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
        val partition = newPartition()
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
            val partition = newPartition()
            val order = startTask(partition)
            val ended = TaskReport("j-1/0", 1, TaskPhase.ENDED, cause)
            partition.onOrderOutcome(order, OrderOutcome.Replied(true, heartbeat(5, ended)), 2)
            partition.onLeaderFrame(frame(clears = listOf(AttemptOrder("m", "j-1/0", 1))), 3)
            for (nowUs in listOf(9 * SECOND, 29 * LEASE_US, 31 * LEASE_US, 1000 * LEASE_US)) {
                val commands = partition.commands(heartbeat(5, ended), nowUs)
                assertEquals((cause == "done"), commands.any { it is Command.Clear }) { "$cause at $nowUs: $commands" }
            }
            partition.addReservedTokens(6L..9L)
            partition.tick(1001 * LEASE_US)
            val commandsBefore = partition.commands(heartbeat(5, ended), 1001 * LEASE_US)
            assertEquals((cause == "done"), commandsBefore.any { it is Command.Clear }) { "$cause, newer token not shown: $commandsBefore" }
            val commandsAfter = partition.commands(heartbeat(if (cause == "done") 5 else 6, ended), 1001 * LEASE_US + SECOND)
            assertTrue(commandsAfter.any { it is Command.Clear }) { "$cause: $commandsAfter" }
        }
    }

    /** Guards against a held order that starts a task again after it was done, perhaps of a job that was cancelled since. */
    @Example
    fun `a task that is done although its order got no answer is cleared only under a newer token`() {
        val partition = newPartition()
        val order = startTask(partition)
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
        val partition = newPartition()
        val order = startTask(partition)
        val ended = TaskReport("j-1/0", 1, TaskPhase.ENDED, "done")
        assertTrue(partition.commands(heartbeat(5), 10).single() is Command.Start) { "the answer is the sure path" }
        partition.onOrderOutcome(order, OrderOutcome.Replied(true, heartbeat(5, ended)), 11)
        partition.onLeaderFrame(frame(clears = listOf(AttemptOrder("m", "j-1/0", 1))), 12)
        assertTrue(partition.commands(heartbeat(5, ended), SECOND).isEmpty()) { "cleared too early" }
        assertTrue(partition.commands(heartbeat(5, ended), 7 * SECOND).single() is Command.Clear) { "not cleared" }
    }

    @Example
    fun `a checkpoint stop is sent once, and again only when the first one must have been lost`() {
        val partition = partitionWithRunningTask()
        partition.onLeaderFrame(checkpointStopFrame(), SECOND)
        val order = partition.nextDirectOrders(SECOND).single()
        assertEquals(listOf(Command.Stop("j-1/0", 1, 5.0)), order.commands) { "$order" }
        partition.onOrderOutcome(order, OrderOutcome.NotSent, SECOND)
        partition.onLeaderFrame(checkpointStopFrame(), 3 * SECOND)
        assertTrue(
            partition.commands(heartbeat(5, taskReport(TaskPhase.RUNNING)), 4 * SECOND).isEmpty(),
        ) { "a second stop may end the saving" }
        val repeatedCommands = partition.commands(heartbeat(5, taskReport(TaskPhase.RUNNING)), 8 * SECOND)
        assertEquals(listOf(Command.Stop("j-1/0", 1, 5.0)), repeatedCommands) { "$repeatedCommands" }
        assertTrue(partition.commands(heartbeat(5, taskReport(TaskPhase.SAVING)), 20 * SECOND).isEmpty()) { "stopped while it saves" }
        assertTrue(partition.commands(heartbeat(5, taskReport(TaskPhase.ENDED)), 21 * SECOND).isEmpty()) { "stopped after its end" }
    }

    @Example
    fun `a saving task whose job is cancelled is ended by a second stop`() {
        val partition = partitionWithRunningTask()
        partition.onLeaderFrame(checkpointStopFrame(), SECOND)
        partition.nextDirectOrders(SECOND)
        partition.onHeartbeat(heartbeat(5, taskReport(TaskPhase.SAVING)), 2 * SECOND)
        partition.onLeaderFrame(frame(stops = listOf(AttemptOrder("m", "j-1/0", 1))), 2 * SECOND)
        val commands = partition.commands(heartbeat(5, taskReport(TaskPhase.SAVING)), 3 * SECOND)
        assertEquals(listOf(Command.Stop("j-1/0", 1, 0.0)), commands) { "$commands" }
    }

    @Example
    fun `a task with a checkpoint stop without an answer stays counted until its machine's lease has expired`() {
        val partition = partitionWithRunningTask()
        partition.onLeaderFrame(checkpointStopFrame(), SECOND)
        partition.onOrderOutcome(partition.nextDirectOrders(SECOND).single(), OrderOutcome.Indeterminate, 4 * SECOND)
        assertTrue(partition.nextDirectOrders(5 * SECOND).isEmpty()) { "ordered although it does not answer" }

        fun listedTasks(nowUs: Long) =
            partition
                .nextFrame(nowUs)
                ?.machines
                ?.single()
                ?.tasks
                .orEmpty()
        assertEquals(TaskPhase.RUNNING, listedTasks(5 * SECOND).single().phase) { "taken for gone" }
        partition.tick(2 * LEASE_US)
        assertTrue(onlyMachineOfNextFrame(partition, 2 * LEASE_US).isLost) { "not lost after its lease" }
    }

    @Example
    fun `a machine that does not answer an order is not offered until it answers one, however many heartbeats it sends`() {
        val partition = newPartition()
        val order = startTask(partition)
        partition.onOrderOutcome(order, OrderOutcome.Indeterminate, 3 * SECOND)
        partition.onHeartbeat(heartbeat(5), 4 * SECOND)
        partition.onLeaderFrame(frame(requests = listOf(request(2, 1))), 4 * SECOND)
        assertTrue(machinesOfferedInNextFrame(partition, 4 * SECOND).isEmpty()) { "offered although nothing reaches it" }
        val probe = partition.nextProbes(5 * SECOND).single()
        partition.onProbeResult(probe, heartbeat(5, taskReport(TaskPhase.RUNNING)), 5 * SECOND)
        partition.onLeaderFrame(frame(requests = listOf(request(3, 1))), 5 * SECOND)
        assertEquals(listOf("m"), machinesOfferedInNextFrame(partition, 5 * SECOND)) { "not offered although it answers again" }
    }

    @Example
    fun `a machine whose lease expired although it was answered has to answer an order first`() {
        val partition = newPartition()
        startTask(partition)
        partition.onHeartbeat(heartbeat(5, agentEpoch = 2), 20 * SECOND)
        partition.onLeaderFrame(frame(requests = listOf(request(2, 1))), 20 * SECOND)
        assertTrue(machinesOfferedInNextFrame(partition, 20 * SECOND).isEmpty()) { "offered" }
        assertEquals(2L, partition.nextProbes(20 * SECOND).single().agentEpoch) { "not asked" }
    }

    @Example
    fun `a start that is no longer wanted and whose order was never sent is removed`() {
        val partition = newPartition()
        val order = startTask(partition)
        partition.onLeaderFrame(frame(stops = listOf(AttemptOrder("m", "j-1/0", 1))), 2)
        assertEquals(1, onlyMachineOfNextFrame(partition, 2).tasks.size) { "forgotten with an order under way" }
        partition.onOrderOutcome(order, OrderOutcome.NotSent, 3)
        assertTrue(onlyMachineOfNextFrame(partition, SECOND).tasks.isEmpty()) { "kept" }
    }

    @Example
    fun `a start of which nothing came back takes its room until its machine shows a newer token, however long that takes`() {
        val partition = newPartition()
        val order = startTask(partition)
        partition.onOrderOutcome(order, OrderOutcome.Indeterminate, SECOND)
        partition.onLeaderFrame(frame(stops = listOf(AttemptOrder("m", "j-1/0", 1))), SECOND)

        fun taskCount(
            nowUs: Long,
            fencingToken: Long = 5,
        ): Int {
            partition.onHeartbeat(heartbeat(fencingToken), nowUs)
            partition.tick(nowUs)
            return partition
                .nextFrame(nowUs)
                ?.machines
                ?.singleOrNull()
                ?.tasks
                ?.size ?: -1
        }
        assertTrue((1L..50).all { taskCount(it * LEASE_US) != 0 }) { "forgotten while it may land" }
        partition.addReservedTokens(6L..9L)
        assertNotEquals(0, taskCount(51 * LEASE_US)) { "forgotten before the newer token was shown" }
        assertNotEquals(0, taskCount(51 * LEASE_US + SECOND)) { "forgotten before the newer token was shown" }
        assertEquals(0, taskCount(51 * LEASE_US + 2 * SECOND, fencingToken = 6)) { "kept for ever" }
    }

    @Example
    fun `an answer that is malformed, of another machine, an older session or a lower token proves nothing`() {
        val inconclusiveOutcomes =
            listOf(
                OrderOutcome.Replied(true, null),
                OrderOutcome.Replied(false, null),
                OrderOutcome.Replied(true, heartbeat(5, machine = "other")),
                OrderOutcome.Replied(true, heartbeat(5, agentEpoch = 0)),
                OrderOutcome.Replied(true, heartbeat(4)),
                OrderOutcome.Replied(false, heartbeat(4)),
                OrderOutcome.Replied(false, heartbeat(5)),
            )
        for (outcome in inconclusiveOutcomes) {
            val partition = newPartition()
            val order = startTask(partition)
            partition.onLeaderFrame(frame(stops = listOf(AttemptOrder("m", "j-1/0", 1))), 2)
            partition.onOrderOutcome(order, outcome, SECOND)
            partition.onHeartbeat(heartbeat(5), SECOND)
            assertFalse(isAttemptRemoved(partition, SECOND)) { "$outcome" }
            assertEquals(1, partition.indeterminateStarts().count()) { "$outcome" }
        }
        val refusedPartition = newPartition()
        val order = startTask(refusedPartition)
        refusedPartition.onLeaderFrame(frame(stops = listOf(AttemptOrder("m", "j-1/0", 1))), 2)
        refusedPartition.onOrderOutcome(order, OrderOutcome.Replied(false, heartbeat(5, agentEpoch = 2)), SECOND)
        assertTrue(isAttemptRemoved(refusedPartition, SECOND)) { "refused for its session, and kept" }
    }

    /** A partition that has sent the start of j-1/0 in the answer to a report, and in no other way; returns that report. */
    private fun startInReply(partition: PartitionCore): Heartbeat {
        partition.onHeartbeat(heartbeat(0), 1)
        partition.onHeartbeat(heartbeat(5), 1)
        partition.onLeaderFrame(frame(requests = listOf(request(1, 1))), 1)
        partition.onLeaderFrame(frame(starts = listOf(StartOrder(1, "m", 0, 1))), 1)
        val repliedHeartbeat = heartbeat(5)
        assertTrue(partition.commands(repliedHeartbeat, SECOND).single() is Command.Start) { "no start in the answer" }
        partition.onLeaderFrame(frame(stops = listOf(AttemptOrder("m", "j-1/0", 1))), SECOND)
        return repliedHeartbeat
    }

    private fun isAttemptRemoved(
        partition: PartitionCore,
        nowUs: Long,
    ) = partition
        .nextFrame(nowUs)
        ?.machines
        .orEmpty()
        .any { 1L in it.removedAttempts }

    /** Guards against a limit that is exceeded, or a task that runs twice: the worker took the answer, and its reports were lost. */
    @Example
    fun `a start sent in an answer counts until its machine has sent a later heartbeat without it, however long that takes`() {
        val partition = newPartition()
        val repliedHeartbeat = startInReply(partition)
        partition.tick(10 * SECOND)
        assertFalse(isAttemptRemoved(partition, 10 * SECOND)) { "given up because time has passed" }
        partition.onHeartbeat(repliedHeartbeat, 11 * SECOND)
        partition.tick(11 * SECOND)
        assertFalse(isAttemptRemoved(partition, 11 * SECOND)) { "given up for a copy of the report that was answered" }
        val order = DirectOrder("m", "1.2.3.4:5", 5, 1, emptyList())
        partition.onOrderOutcome(order, OrderOutcome.Replied(true, heartbeat(5)), 12 * SECOND)
        partition.tick(12 * SECOND)
        assertFalse(isAttemptRemoved(partition, 12 * SECOND)) { "removed for an order reply, which may be older than the heartbeat reply" }
        partition.onHeartbeat(heartbeat(5), 13 * SECOND)
        assertTrue(isAttemptRemoved(partition, 13 * SECOND)) { "kept although a later report does not list it" }
    }

    @Example
    fun `a start sent in an answer is stopped where the machine shows that it took it`() {
        val partition = newPartition()
        startInReply(partition)
        partition.tick(10 * SECOND)
        val commands = partition.commands(heartbeat(5, taskReport(TaskPhase.RUNNING)), 11 * SECOND)
        assertEquals(listOf(Command.Stop("j-1/0", 1, 0.0)), commands) { "$commands" }
    }

    @Example
    fun `a partition stops the tasks of a job that it knows to be over and starts no more, whatever its leader says`() {
        val jobCompletions = FakeJobCompletions(LEASE_US) { 0 }
        val partition = newPartition(jobCompletions = jobCompletions)
        startTask(partition)
        partition.onLeaderFrame(frame(requests = listOf(request(2, 1))), SECOND)
        partition.commands(heartbeat(5, taskReport(TaskPhase.RUNNING)), SECOND)
        jobCompletions.endJob("j-1")
        partition.onLeaderFrame(frame(requests = listOf(request(3, 1)), starts = listOf(StartOrder(2, "m", 1, 2))), 2 * SECOND)
        assertTrue(lastOfferOfNextFrame(partition, 2 * SECOND).slots.isEmpty()) { "offered for a job that is over" }
        partition.tick(3 * SECOND)
        val commands = partition.commands(heartbeat(5, taskReport(TaskPhase.RUNNING)), 3 * SECOND)
        assertEquals(listOf(Command.Stop("j-1/0", 1, 0.0)), commands) { "not just stopped: $commands" }
    }
}
