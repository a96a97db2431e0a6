package lichenstage.partition

import lichenstage.cluster.AttemptCommand
import lichenstage.cluster.StartCommand
import lichenstage.cluster.TaskPhase
import lichenstage.common.SECOND
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Assertions.assertTrue

/** Tests when commands are sent to workers and repeated, and when a start is proven not to be executed any more. */
internal class PartitionOrdersTest : PartitionFixture() {
    /** Guards against cancelled tasks that keep running because a burst of starts occupies all connections. */
    @Example
    fun `if connections are scarce, orders with stops are sent before orders with starts`() {
        val partition = newPartition()
        for (name in listOf("m1", "m2")) partition.onHeartbeat(heartbeat(5, machine = name), 1)
        partition.onHeartbeat(heartbeat(5, TaskReport("j-9/0", 9, TaskPhase.RUNNING, null), machine = "m3"), 2)
        partition.nextDirectOrders(2)
        partition.onLeaderFrame(frame(requests = listOf(request(1, 4))), 3)
        val starts = listOf("m1", "m2").mapIndexed { i, name -> StartCommand(1, name, i, 10L + i) }
        partition.onLeaderFrame(frame(starts = starts, stops = listOf(AttemptCommand("m3", "j-9/0", 9))), 4)
        assertTrue(partition.nextDirectOrders(5, limit = 0).isEmpty()) { "sent without an available connection" }
        assertEquals(listOf("m3"), partition.nextDirectOrders(5, limit = 1).map { it.machine }) { "the stop was not first" }
        assertEquals(listOf("m1", "m2"), partition.nextDirectOrders(6, limit = 9).map { it.machine }) { "the starts did not follow" }
    }

    @Example
    fun `without a newer token only a done task of a complete job is cleared, however much time passes`() {
        for ((cause, completeJobs) in listOf(
            "done" to setOf("j-1"),
            "done" to emptySet(),
            "error" to setOf("j-1"),
            "error" to emptySet(),
        )) {
            val isClearedAtOnce = cause == "done" && completeJobs.isNotEmpty()
            val partition = newPartition()
            val order = startTask(partition)
            val ended = TaskReport("j-1/0", 1, TaskPhase.ENDED, cause)
            partition.onOrderOutcome(order, OrderOutcome.Replied(true, heartbeat(5, ended)), 2)
            partition.onLeaderFrame(frame(clears = listOf(AttemptCommand("m", "j-1/0", 1))).copy(completeJobs = completeJobs), 3)
            for (nowUs in listOf(9 * SECOND, 29 * LEASE_US, 31 * LEASE_US, 1000 * LEASE_US)) {
                val commands = partition.commands(heartbeat(5, ended), nowUs)
                assertEquals(isClearedAtOnce, commands.any { it is Command.Clear }) { "$cause $completeJobs at $nowUs: $commands" }
            }
            partition.addReservedTokens(6L..9L)
            partition.tick(1001 * LEASE_US)
            val commandsBefore = partition.commands(heartbeat(5, ended), 1001 * LEASE_US)
            assertEquals(isClearedAtOnce, commandsBefore.any { it is Command.Clear }) { "$cause, newer token not shown: $commandsBefore" }
            val commandsAfter = partition.commands(heartbeat(if (isClearedAtOnce) 5 else 6, ended), 1001 * LEASE_US + SECOND)
            assertTrue(commandsAfter.any { it is Command.Clear }) { "$cause: $commandsAfter" }
        }
    }

    /** Guards against a delayed order that starts a done task again, possibly after its job was cancelled. */
    @Example
    fun `a done task whose order got no reply is cleared only under a newer token`() {
        val partition = newPartition()
        val order = startTask(partition)
        val done = TaskReport("j-1/0", 1, TaskPhase.ENDED, "done")
        partition.onOrderOutcome(order, OrderOutcome.Indeterminate, 3 * SECOND)
        partition.onProbeResult(StatusProbe("m", "1.2.3.4:5", 5, 1), heartbeat(5, done), 5 * SECOND)
        partition.onLeaderFrame(frame(clears = listOf(AttemptCommand("m", "j-1/0", 1))), 6 * SECOND)
        assertTrue(partition.commands(heartbeat(5, done), 7 * SECOND).isEmpty()) { "cleared while the order may still be executed" }
        partition.addReservedTokens(6L..9L)
        partition.tick(8 * SECOND)
        assertTrue(partition.commands(heartbeat(5, done), 9 * SECOND).isEmpty()) { "cleared before the newer token was shown" }
        assertTrue(partition.commands(heartbeat(6, done), 15 * SECOND).single() is Command.Clear) { "not cleared" }
    }

    @Example
    fun `no clear is sent while the worker may still execute the start from a reply to a heartbeat`() {
        val partition = newPartition()
        val order = startTask(partition)
        val ended = TaskReport("j-1/0", 1, TaskPhase.ENDED, "done")
        assertTrue(partition.commands(heartbeat(5), 10).single() is Command.Start) { "the reply does not carry the start" }
        partition.onOrderOutcome(order, OrderOutcome.Replied(true, heartbeat(5, ended)), 11)
        partition.onLeaderFrame(frame(clears = listOf(AttemptCommand("m", "j-1/0", 1))).copy(completeJobs = setOf("j-1")), 12)
        assertTrue(partition.commands(heartbeat(5, ended), SECOND).isEmpty()) { "cleared too early" }
        assertTrue(partition.commands(heartbeat(5, ended), 7 * SECOND).single() is Command.Clear) { "not cleared" }
    }

    @Example
    fun `a checkpoint stop is sent once and repeated only when the first one must have been lost`() {
        val partition = partitionWithRunningTask()
        partition.onLeaderFrame(checkpointStopFrame(), SECOND)
        val order = partition.nextDirectOrders(SECOND).single()
        assertEquals(listOf(Command.Stop("j-1/0", 1, 5.0)), order.commands) { "$order" }
        partition.onOrderOutcome(order, OrderOutcome.NotSent, SECOND)
        partition.onLeaderFrame(checkpointStopFrame(), 3 * SECOND)
        assertTrue(partition.commands(heartbeat(5, taskReport(TaskPhase.RUNNING)), 4 * SECOND).isEmpty()) { "second stop sent too early" }
        val repeatedCommands = partition.commands(heartbeat(5, taskReport(TaskPhase.RUNNING)), 8 * SECOND)
        assertEquals(listOf(Command.Stop("j-1/0", 1, 5.0)), repeatedCommands) { "$repeatedCommands" }
        assertTrue(partition.commands(heartbeat(5, taskReport(TaskPhase.SAVING)), 20 * SECOND).isEmpty()) { "stopped while saving" }
        assertTrue(partition.commands(heartbeat(5, taskReport(TaskPhase.ENDED)), 21 * SECOND).isEmpty()) { "stopped after the task ended" }
    }

    @Example
    fun `a task that saves a checkpoint is stopped again when its job is cancelled`() {
        val partition = partitionWithRunningTask()
        partition.onLeaderFrame(checkpointStopFrame(), SECOND)
        partition.nextDirectOrders(SECOND)
        partition.onHeartbeat(heartbeat(5, taskReport(TaskPhase.SAVING)), 2 * SECOND)
        partition.onLeaderFrame(frame(stops = listOf(AttemptCommand("m", "j-1/0", 1))), 2 * SECOND)
        val commands = partition.commands(heartbeat(5, taskReport(TaskPhase.SAVING)), 3 * SECOND)
        assertEquals(listOf(Command.Stop("j-1/0", 1, 0.0)), commands) { "$commands" }
    }

    @Example
    fun `a task whose checkpoint stop got no reply counts as running until its machine's lease has expired`() {
        val partition = partitionWithRunningTask()
        partition.onLeaderFrame(checkpointStopFrame(), SECOND)
        partition.onOrderOutcome(partition.nextDirectOrders(SECOND).single(), OrderOutcome.Indeterminate, 4 * SECOND)
        assertTrue(partition.nextDirectOrders(5 * SECOND).isEmpty()) { "sent an order to an unresponsive machine" }

        fun listedTasks(nowUs: Long) =
            partition
                .nextFrame(nowUs)
                ?.machines
                ?.single()
                ?.tasks
                .orEmpty()
        assertEquals(TaskPhase.RUNNING, listedTasks(5 * SECOND).single().phase) { "the task is no longer listed as running" }
        partition.tick(2 * LEASE_US)
        assertTrue(onlyMachineOfNextFrame(partition, 2 * LEASE_US).isLost) { "not lost after its lease expired" }
    }

    @Example
    fun `a machine that did not reply to an order is not offered until it replies to one, however many heartbeats it sends`() {
        val partition = newPartition()
        val order = startTask(partition)
        partition.onOrderOutcome(order, OrderOutcome.Indeterminate, 3 * SECOND)
        partition.onHeartbeat(heartbeat(5), 4 * SECOND)
        partition.onLeaderFrame(frame(requests = listOf(request(2, 1))), 4 * SECOND)
        assertTrue(machinesOfferedInNextFrame(partition, 4 * SECOND).isEmpty()) { "offered although unresponsive" }
        val probe = partition.nextProbes(5 * SECOND).single()
        partition.onProbeResult(probe, heartbeat(5, taskReport(TaskPhase.RUNNING)), 5 * SECOND)
        partition.onLeaderFrame(frame(requests = listOf(request(3, 1))), 5 * SECOND)
        assertEquals(listOf("m"), machinesOfferedInNextFrame(partition, 5 * SECOND)) { "not offered although it replies again" }
    }

    @Example
    fun `a machine whose lease expired despite replies to its heartbeats is not offered until it replies to an order`() {
        val partition = newPartition()
        startTask(partition)
        partition.onHeartbeat(heartbeat(5, agentEpoch = 2), 20 * SECOND)
        partition.onLeaderFrame(frame(requests = listOf(request(2, 1))), 20 * SECOND)
        assertTrue(machinesOfferedInNextFrame(partition, 20 * SECOND).isEmpty()) { "offered before it replied to an order" }
        assertEquals(2L, partition.nextProbes(20 * SECOND).single().agentEpoch) { "no probe was sent for the new agent epoch" }
    }

    @Example
    fun `an unwanted start whose order was never sent is removed`() {
        val partition = newPartition()
        val order = startTask(partition)
        partition.onLeaderFrame(frame(stops = listOf(AttemptCommand("m", "j-1/0", 1))), 2)
        assertEquals(1, onlyMachineOfNextFrame(partition, 2).tasks.size) { "removed while its order is in flight" }
        partition.onOrderOutcome(order, OrderOutcome.NotSent, 3)
        assertTrue(onlyMachineOfNextFrame(partition, SECOND).tasks.isEmpty()) { "not removed" }
    }

    @Example
    fun `an indeterminate start occupies capacity until its machine shows a newer token, however long that takes`() {
        val partition = newPartition()
        val order = startTask(partition)
        partition.onOrderOutcome(order, OrderOutcome.Indeterminate, SECOND)
        partition.onLeaderFrame(frame(stops = listOf(AttemptCommand("m", "j-1/0", 1))), SECOND)

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
        assertTrue((1L..50).all { taskCount(it * LEASE_US) != 0 }) { "removed while it may still be executed" }
        partition.addReservedTokens(6L..9L)
        assertNotEquals(0, taskCount(51 * LEASE_US)) { "removed before the newer token was shown" }
        assertNotEquals(0, taskCount(51 * LEASE_US + SECOND)) { "removed before the newer token was shown" }
        assertEquals(0, taskCount(51 * LEASE_US + 2 * SECOND, fencingToken = 6)) { "not removed after the newer token was shown" }
    }

    @Example
    fun `a reply that is malformed, from another machine, of an older agent epoch or with a lower token proves nothing`() {
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
            partition.onLeaderFrame(frame(stops = listOf(AttemptCommand("m", "j-1/0", 1))), 2)
            partition.onOrderOutcome(order, outcome, SECOND)
            partition.onHeartbeat(heartbeat(5), SECOND)
            assertFalse(isAttemptRemoved(partition, SECOND)) { "$outcome" }
            assertEquals(1, partition.indeterminateStarts().count()) { "$outcome" }
        }
        val refusedPartition = newPartition()
        val order = startTask(refusedPartition)
        refusedPartition.onLeaderFrame(frame(stops = listOf(AttemptCommand("m", "j-1/0", 1))), 2)
        refusedPartition.onOrderOutcome(order, OrderOutcome.Replied(false, heartbeat(5, agentEpoch = 2)), SECOND)
        assertTrue(isAttemptRemoved(refusedPartition, SECOND)) { "not removed although the order was refused for its agent epoch" }
    }

    /** Makes [partition] send the start of j-1/0 only in the reply to a heartbeat, then requests its stop. Returns that heartbeat. */
    private fun startInReply(partition: PartitionCore): Heartbeat {
        partition.onHeartbeat(heartbeat(0), 1)
        partition.onHeartbeat(heartbeat(5), 1)
        partition.onLeaderFrame(frame(requests = listOf(request(1, 1))), 1)
        partition.onLeaderFrame(frame(starts = listOf(StartCommand(1, "m", 0, 1))), 1)
        val repliedHeartbeat = heartbeat(5)
        assertTrue(partition.commands(repliedHeartbeat, SECOND).single() is Command.Start) { "no start in the reply" }
        partition.onLeaderFrame(frame(stops = listOf(AttemptCommand("m", "j-1/0", 1))), SECOND)
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

    /**
     * Guards against an exceeded limit or a task that runs twice. The cause is a worker that executes the start from the reply while its
     * later heartbeats are lost, so that the partition does not see the running task.
     */
    @Example
    fun `a start sent in a reply counts until a later heartbeat does not list it, however long that takes`() {
        val partition = newPartition()
        val repliedHeartbeat = startInReply(partition)
        partition.tick(10 * SECOND)
        assertFalse(isAttemptRemoved(partition, 10 * SECOND)) { "removed because time has passed" }
        partition.onHeartbeat(repliedHeartbeat, 11 * SECOND)
        partition.tick(11 * SECOND)
        assertFalse(isAttemptRemoved(partition, 11 * SECOND)) { "removed for a copy of the heartbeat whose reply carried the start" }
        val order = DirectOrder("m", "1.2.3.4:5", 5, 1, emptyList())
        partition.onOrderOutcome(order, OrderOutcome.Replied(true, heartbeat(5)), 12 * SECOND)
        partition.tick(12 * SECOND)
        assertFalse(isAttemptRemoved(partition, 12 * SECOND)) { "removed for an order reply, which may be older than the heartbeat reply" }
        partition.onHeartbeat(heartbeat(5), 13 * SECOND)
        assertTrue(isAttemptRemoved(partition, 13 * SECOND)) { "not removed although a later heartbeat does not list it" }
    }

    @Example
    fun `an unwanted start sent in a reply is stopped when a heartbeat lists it`() {
        val partition = newPartition()
        startInReply(partition)
        partition.tick(10 * SECOND)
        val commands = partition.commands(heartbeat(5, taskReport(TaskPhase.RUNNING)), 11 * SECOND)
        assertEquals(listOf(Command.Stop("j-1/0", 1, 0.0)), commands) { "$commands" }
    }

    @Example
    fun `a partition stops the tasks of an ended job and starts no more, whatever the leader requests`() {
        val jobCompletions = FakeJobCompletions(LEASE_US) { 0 }
        val partition = newPartition(jobCompletions = jobCompletions)
        startTask(partition)
        partition.onLeaderFrame(frame(requests = listOf(request(2, 1))), SECOND)
        partition.commands(heartbeat(5, taskReport(TaskPhase.RUNNING)), SECOND)
        jobCompletions.endJob("j-1")
        partition.onLeaderFrame(frame(requests = listOf(request(3, 1)), starts = listOf(StartCommand(2, "m", 1, 2))), 2 * SECOND)
        assertTrue(lastOfferOfNextFrame(partition, 2 * SECOND).slots.isEmpty()) { "offered for an ended job" }
        partition.tick(3 * SECOND)
        val commands = partition.commands(heartbeat(5, taskReport(TaskPhase.RUNNING)), 3 * SECOND)
        assertEquals(listOf(Command.Stop("j-1/0", 1, 0.0)), commands) { "expected only a stop: $commands" }
    }
}
