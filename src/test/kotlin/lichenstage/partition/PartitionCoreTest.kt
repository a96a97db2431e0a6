package lichenstage.partition

import lichenstage.cluster.PlacementFrame
import lichenstage.cluster.StartOrder
import lichenstage.cluster.TaskPhase
import lichenstage.common.SECOND
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue

/** The invariants that a partition alone must keep. */
internal class PartitionCoreTest : PartitionFixture() {
    @Example
    fun `a machine is offered only after its worker has shown the token`() {
        val partition = newPartition()
        partition.onHeartbeat(heartbeat(3), 1)
        partition.onLeaderFrame(frame(requests = listOf(request(1, 1))), 1)
        assertTrue(onlyOfferOfNextFrame(partition, 2).slots.isEmpty()) { "offered before its token was confirmed" }
        partition.onHeartbeat(heartbeat(5), 2)
        partition.onLeaderFrame(frame(requests = listOf(request(2, 1))), 3)
        assertEquals("m", onlyOfferOfNextFrame(partition, 4).slots.single().machine) { "not offered" }
    }

    @Example
    fun `a worker that has seen a higher token is not answered`() {
        assertTrue(newPartition().onHeartbeat(heartbeat(6), 1) is HeartbeatOutcome.Superseded) { "answered" }
    }

    @Example
    fun `requests in one frame are granted in the order of their stamps`() {
        val partition = newPartition()
        partition.onHeartbeat(heartbeat(5), 1)
        partition.onLeaderFrame(frame(requests = listOf(request(9, 2).copy(job = "j-2"), request(3, 1))), 1)
        val offers = partition.nextFrame(2)!!.offers.associate { it.requestNumber to it.slots.sumOf { held -> held.count } }
        assertEquals(mapOf(3L to 1, 9L to 1), offers) { "$offers" }
    }

    /** Counted, not timed: in a backlog dozens of requests come with each frame, and nearly all machines are full. */
    @Example
    fun `a heartbeat looks at no other machine and requests look at a full one once, however many there are`() {
        for (machines in listOf(400, 1600)) {
            var limitLookups = 0
            val partition =
                newPartition {
                    limitLookups++
                    MACHINE_LIMITS
                }
            partition.onLeaderFrame(frame(requests = listOf(request(1, 0))), 1)
            val runningTasks = listOf(1L, 2L).map { TaskReport("j-1/$it", it, TaskPhase.RUNNING, null) }.toTypedArray()
            repeat(machines) { partition.onHeartbeat(heartbeat(5, *runningTasks, machine = "m$it"), 1) }
            partition.onHeartbeat(heartbeat(5, machine = "free"), 1)
            limitLookups = 0
            partition.onHeartbeat(heartbeat(5, *runningTasks, machine = "m7"), 1)
            assertEquals(0, limitLookups) { "a heartbeat made $limitLookups looks at $machines machines" }
            partition.onLeaderFrame(frame(requests = (1L..24L).map { request(10 + it, 1).copy(job = "j-$it") }), 2)
            assertTrue(limitLookups in machines..machines + 1 + 24) { "$limitLookups looks at $machines machines" }
            val held = partition.nextFrame(3)!!.offers.sumOf { offer -> offer.slots.sumOf { it.count } }
            assertEquals(2, held) { "$held held on the one that is free" }
        }
    }

    @Example
    fun `a hold expires, and a start on an expired one is refused and reported to the leader`() {
        val partition = newPartition()
        partition.onHeartbeat(heartbeat(5), 0)
        partition.onLeaderFrame(frame(requests = listOf(request(1, 1))), 0)
        partition.nextFrame(1)
        partition.onLeaderFrame(frame(starts = listOf(StartOrder(1, "m", 0, 1))), 6 * SECOND)
        assertTrue(partition.nextDirectOrders(6 * SECOND).isEmpty()) { "started on an expired hold" }
        assertTrue(onlyMachineOfNextFrame(partition, 6 * SECOND).tasks.isEmpty()) { "listed" }
    }

    @Example
    fun `a newer leader's frame drops the holds of the one before, whose starts are refused`() {
        val partition = newPartition()
        partition.onHeartbeat(heartbeat(5), 0)
        partition.onLeaderFrame(frame(term = 1, requests = listOf(request(1, 1))), 0)
        partition.onLeaderFrame(frame(term = 2), 1)
        partition.onLeaderFrame(frame(term = 1, starts = listOf(StartOrder(1, "m", 0, 1))), 2)
        partition.onLeaderFrame(frame(term = 2, starts = listOf(StartOrder(1, "m", 0, 1))), 3)
        assertTrue(partition.nextDirectOrders(3).isEmpty()) { "started" }
    }

    @Example
    fun `the first state for a leader is sent in partial frames, of which only the last is whole`() {
        val partition = newPartition()
        repeat(130) { partition.onHeartbeat(heartbeat(5, machine = "m$it"), 1) }
        partition.onLeaderFrame(frame(), 1)
        val first = partition.nextFrame(SECOND)!!
        assertTrue(!first.isFinal && first.machines.size == 100 && first.seq == 0L && first.receivedSeq == seq) { "$first" }
        partition.onLeaderFrame(PlacementFrame("z/0", 1, ++seq, 5, first.version), SECOND)
        val second = partition.nextFrame(2 * SECOND)!!
        assertTrue(second.isFinal && second.machines.size == 30 && second.seq == seq) { "$second" }
        val names = (first.machines + second.machines).map { it.name }.toSet()
        assertEquals(130, names.size) { "${names.size} machines" }
    }

    @Example
    fun `late and repeated heartbeats change nothing`() {
        val partition = newPartition()
        val lateHeartbeat = heartbeat(5)
        val order = startTask(partition)
        partition.onOrderOutcome(order, OrderOutcome.Replied(true, heartbeat(5, taskReport(TaskPhase.RUNNING))), 2)
        partition.nextFrame(2)
        partition.onHeartbeat(lateHeartbeat, 3)
        assertEquals(TaskPhase.RUNNING, onlyMachineOfNextFrame(partition, 5 * SECOND).tasks.single().phase) { "an old list was believed" }
    }

    @Example
    fun `a silent machine is lost only when its lease has run out, and a late heartbeat does not bring its tasks back`() {
        val partition = newPartition()
        val order = startTask(partition, nowUs = SECOND)
        val running = taskReport(TaskPhase.RUNNING)
        partition.onOrderOutcome(order, OrderOutcome.Replied(true, heartbeat(5, running)), SECOND)
        val lateHeartbeat = heartbeat(5, running)
        partition.tick(SECOND + LEASE_US)
        assertFalse(onlyMachineOfNextFrame(partition, SECOND + LEASE_US).isLost) { "lost too early" }
        partition.tick(3 * SECOND + LEASE_US)
        partition.onHeartbeat(lateHeartbeat, 4 * SECOND + LEASE_US)
        val machine = onlyMachineOfNextFrame(partition, 5 * SECOND + LEASE_US)
        assertTrue(machine.isLost && machine.tasks.isEmpty()) { "$machine" }
    }

    @Example
    fun `a machine known from a probe alone is not lost before its lease can have run out`() {
        val partition = newPartition()
        val probedAtUs = 100 * SECOND
        partition.onProbeResult(StatusProbe("m", "1.2.3.4:5", 5), heartbeat(5), probedAtUs)
        partition.tick(probedAtUs + LEASE_US / 2)
        partition.onLeaderFrame(frame(), probedAtUs + LEASE_US / 2)
        assertFalse(onlyMachineOfNextFrame(partition, probedAtUs + LEASE_US / 2).isLost) { "held for lost" }
    }

    @Example
    fun `a machine with a task of unknown size on it is full`() {
        val partition = newPartition()
        partition.onHeartbeat(heartbeat(5, TaskReport("j-77/0", 1, TaskPhase.RUNNING, null)), 1)
        partition.onLeaderFrame(frame(requests = listOf(request(1, 1))), 2)
        assertTrue(onlyOfferOfNextFrame(partition, 3).slots.isEmpty()) { "offered" }
    }

    @Example
    fun `among equally roomy machines the one with the image is offered first`() {
        val partition = newPartition()
        listOf("a", "b", "c").forEach { partition.onHeartbeat(heartbeat(5, machine = it), 1) }
        partition.onLeaderFrame(frame(requests = listOf(request(1, 3))), 2)
        partition.onLeaderFrame(frame(starts = listOf(StartOrder(1, "b", 0, 1))), 3)
        partition.nextDirectOrders(3)
        partition.onHeartbeat(heartbeat(5, TaskReport("j-1/0", 1, TaskPhase.ENDED, "done"), machine = "b"), 4)
        partition.onLeaderFrame(frame(requests = listOf(request(2, 1))), 5)
        assertEquals("b", lastOfferOfNextFrame(partition, 6).slots.single().machine) { "a cold machine came first" }
    }

    @Example
    fun `where a job has two requests the later one is for what the first was not granted`() {
        val partition = newPartition()
        listOf("a", "b").forEach { partition.onHeartbeat(heartbeat(5, machine = it), 1) }
        partition.onLeaderFrame(frame(requests = listOf(request(1, 4))), 2)
        partition.onLeaderFrame(frame(starts = listOf(StartOrder(1, "b", 0, 1))), 3)
        partition.onLeaderFrame(frame(requests = listOf(request(2, 3).copy(isImageRequired = true), request(3, 3))), 4)
        val counts =
            partition
                .nextFrame(SECOND)!!
                .offers
                .takeLast(2)
                .map { offer -> offer.slots.sumOf { it.count } }
        assertTrue(counts.sum() == 3 && counts[0] in 1..2) { "$counts" }
    }

    @Example
    fun `a request for machines with the image gets no other machine`() {
        val partition = newPartition()
        listOf("a", "b").forEach { partition.onHeartbeat(heartbeat(5, machine = it), 1) }
        partition.onLeaderFrame(frame(requests = listOf(request(1, 3).copy(isImageRequired = true))), 2)
        assertTrue(machinesOfferedInNextFrame(partition, 2).isEmpty()) { "a cold machine was offered" }
        partition.onLeaderFrame(frame(requests = listOf(request(2, 4))), 3)
        partition.onLeaderFrame(frame(starts = listOf(StartOrder(2, "b", 0, 1))), 4)
        partition.nextDirectOrders(4)
        partition.onLeaderFrame(frame(requests = listOf(request(3, 3).copy(isImageRequired = true))), 5)
        assertEquals(listOf("b"), machinesOfferedInNextFrame(partition, 5)) { "not the machine that fetches the image" }
    }

    @Example
    fun `a machine that answers orders but sends no heartbeats gets no more tasks, for its lease expires`() {
        val partition = newPartition()
        startTask(partition)
        var nowUs = SECOND
        while (nowUs < 12 * SECOND) {
            nowUs += SECOND
            // As a mute machine does: what it is asked it answers, and its own reports reach nobody.
            partition.onProbeResult(StatusProbe("m", "1.2.3.4:5", 5, 1), heartbeat(5, taskReport(TaskPhase.RUNNING)), nowUs)
        }
        partition.onLeaderFrame(frame(requests = listOf(request(2, 1))), nowUs)
        val offer = partition.nextFrame(nowUs + SECOND)!!.offers.single { it.requestNumber == 2L }
        assertTrue(offer.slots.isEmpty()) { "offered: ${offer.slots}" }
    }
}
