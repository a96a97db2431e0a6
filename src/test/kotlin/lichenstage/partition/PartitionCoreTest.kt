package lichenstage.partition

import lichenstage.cluster.LeaderFrame
import lichenstage.cluster.StartCommand
import lichenstage.cluster.TaskPhase
import lichenstage.common.SECOND
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue

/** Tests of the invariants that one partition must keep on its own, without other controllers. */
internal class PartitionCoreTest : PartitionFixture() {
    @Example
    fun `a machine is offered only after its worker has shown the partition's token`() {
        val partition = newPartition()
        partition.onHeartbeat(heartbeat(3), 1)
        partition.onLeaderFrame(frame(requests = listOf(request(1, 1))), 1)
        assertTrue(onlyOfferOfNextFrame(partition, 2).slots.isEmpty()) { "machine m was offered before its token was confirmed" }
        partition.onHeartbeat(heartbeat(5), 2)
        partition.onLeaderFrame(frame(requests = listOf(request(2, 1))), 3)
        assertEquals("m", onlyOfferOfNextFrame(partition, 4).slots.single().machine) { "m was not offered after its token was confirmed" }
    }

    @Example
    fun `a heartbeat with a higher token than the partition's is not accepted`() {
        assertTrue(newPartition().onHeartbeat(heartbeat(6), 1) is HeartbeatOutcome.Superseded) { "the heartbeat was not superseded" }
    }

    @Example
    fun `requests of one frame are granted in the order of their numbers`() {
        val partition = newPartition()
        partition.onHeartbeat(heartbeat(5), 1)
        partition.onLeaderFrame(frame(requests = listOf(request(9, 2).copy(job = "j-2"), request(3, 1))), 1)
        val offers = partition.nextFrame(2)!!.offers.associate { it.requestNumber to it.slots.sumOf { slots -> slots.count } }
        assertEquals(mapOf(3L to 1, 9L to 1), offers) { "$offers" }
    }

    /**
     * Guards against costs that grow with the number of machines. In a backlog each frame brings dozens of requests and nearly all machines
     * are full. The test counts the look-ups of machine limits instead of measuring time.
     */
    @Example
    fun `a heartbeat checks no other machine and the requests of a frame check a full machine once`() {
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
            assertEquals(0, limitLookups) { "a heartbeat caused $limitLookups limit look-ups with $machines machines" }
            partition.onLeaderFrame(frame(requests = (1L..24L).map { request(10 + it, 1).copy(job = "j-$it") }), 2)
            assertTrue(limitLookups in machines..machines + 1 + 24) { "24 requests: $limitLookups limit look-ups with $machines machines" }
            val heldSlots = partition.nextFrame(3)!!.offers.sumOf { offer -> offer.slots.sumOf { it.count } }
            assertEquals(2, heldSlots) { "$heldSlots slots are held on the free machine, expected 2" }
        }
    }

    @Example
    fun `a start on an expired hold is refused and the leader is sent the task list without it`() {
        val partition = newPartition()
        partition.onHeartbeat(heartbeat(5), 0)
        partition.onLeaderFrame(frame(requests = listOf(request(1, 1))), 0)
        partition.nextFrame(1)
        partition.onLeaderFrame(frame(starts = listOf(StartCommand(1, "m", 0, 1))), 6 * SECOND)
        assertTrue(partition.nextDirectOrders(6 * SECOND).isEmpty()) { "the task was started on an expired hold" }
        assertTrue(onlyMachineOfNextFrame(partition, 6 * SECOND).tasks.isEmpty()) { "the refused task is listed" }
    }

    @Example
    fun `a frame of a new leader drops the holds of the previous leader and starts on them are refused`() {
        val partition = newPartition()
        partition.onHeartbeat(heartbeat(5), 0)
        partition.onLeaderFrame(frame(term = 1, requests = listOf(request(1, 1))), 0)
        partition.onLeaderFrame(frame(term = 2), 1)
        partition.onLeaderFrame(frame(term = 1, starts = listOf(StartCommand(1, "m", 0, 1))), 2)
        partition.onLeaderFrame(frame(term = 2, starts = listOf(StartCommand(1, "m", 0, 1))), 3)
        assertTrue(partition.nextDirectOrders(3).isEmpty()) { "the task was started on a dropped hold" }
    }

    @Example
    fun `the first state for a leader is sent in several frames of which only the last is final`() {
        val partition = newPartition()
        repeat(130) { partition.onHeartbeat(heartbeat(5, machine = "m$it"), 1) }
        partition.onLeaderFrame(frame(), 1)
        val first = partition.nextFrame(SECOND)!!
        assertTrue(!first.isFinal && first.machines.size == 100 && first.seq == 0L && first.receivedSeq == seq) { "$first" }
        partition.onLeaderFrame(LeaderFrame("z/0", 1, ++seq, 5, first.version), SECOND)
        val second = partition.nextFrame(2 * SECOND)!!
        assertTrue(second.isFinal && second.machines.size == 30 && second.seq == seq) { "$second" }
        val names = (first.machines + second.machines).map { it.name }.toSet()
        assertEquals(130, names.size) { "${names.size} machines" }
    }

    @Example
    fun `a heartbeat that arrives after newer messages changes nothing`() {
        val partition = newPartition()
        val lateHeartbeat = heartbeat(5)
        val order = startTask(partition)
        partition.onOrderOutcome(order, OrderOutcome.Replied(true, heartbeat(5, taskReport(TaskPhase.RUNNING))), 2)
        partition.nextFrame(2)
        partition.onHeartbeat(lateHeartbeat, 3)
        assertEquals(
            TaskPhase.RUNNING,
            onlyMachineOfNextFrame(partition, 5 * SECOND).tasks.single().phase,
        ) { "the old task list was applied" }
    }

    @Example
    fun `a silent machine is lost only after its lease expires and a late heartbeat does not restore its tasks`() {
        val partition = newPartition()
        val order = startTask(partition, nowUs = SECOND)
        val running = taskReport(TaskPhase.RUNNING)
        partition.onOrderOutcome(order, OrderOutcome.Replied(true, heartbeat(5, running)), SECOND)
        val lateHeartbeat = heartbeat(5, running)
        partition.tick(SECOND + LEASE_US)
        assertFalse(onlyMachineOfNextFrame(partition, SECOND + LEASE_US).isLost) { "the machine was lost before its lease expired" }
        partition.tick(3 * SECOND + LEASE_US)
        partition.onHeartbeat(lateHeartbeat, 4 * SECOND + LEASE_US)
        val machine = onlyMachineOfNextFrame(partition, 5 * SECOND + LEASE_US)
        assertTrue(machine.isLost && machine.tasks.isEmpty()) { "$machine" }
    }

    @Example
    fun `a machine known only from a probe is not lost before its lease can have expired`() {
        val partition = newPartition()
        val probedAtUs = 100 * SECOND
        partition.onProbeResult(StatusProbe("m", "1.2.3.4:5", 5), heartbeat(5), probedAtUs)
        partition.tick(probedAtUs + LEASE_US / 2)
        partition.onLeaderFrame(frame(), probedAtUs + LEASE_US / 2)
        assertFalse(onlyMachineOfNextFrame(partition, probedAtUs + LEASE_US / 2).isLost) { "lost half a lease after the probe" }
    }

    @Example
    fun `a machine that runs a task with unknown requirements is not offered`() {
        val partition = newPartition()
        partition.onHeartbeat(heartbeat(5, TaskReport("j-77/0", 1, TaskPhase.RUNNING, null)), 1)
        partition.onLeaderFrame(frame(requests = listOf(request(1, 1))), 2)
        assertTrue(onlyOfferOfNextFrame(partition, 3).slots.isEmpty()) { "the machine was offered" }
    }

    @Example
    fun `among machines with equal free capacity the one with the image is offered first`() {
        val partition = newPartition()
        listOf("a", "b", "c").forEach { partition.onHeartbeat(heartbeat(5, machine = it), 1) }
        partition.onLeaderFrame(frame(requests = listOf(request(1, 3))), 2)
        partition.onLeaderFrame(frame(starts = listOf(StartCommand(1, "b", 0, 1))), 3)
        partition.nextDirectOrders(3)
        partition.onHeartbeat(heartbeat(5, TaskReport("j-1/0", 1, TaskPhase.ENDED, "done"), machine = "b"), 4)
        partition.onLeaderFrame(frame(requests = listOf(request(2, 1))), 5)
        assertEquals("b", lastOfferOfNextFrame(partition, 6).slots.single().machine) { "a machine without the image was offered first" }
    }

    @Example
    fun `the later of two requests of a job is granted only the tasks that the first was not granted`() {
        val partition = newPartition()
        listOf("a", "b").forEach { partition.onHeartbeat(heartbeat(5, machine = it), 1) }
        partition.onLeaderFrame(frame(requests = listOf(request(1, 4))), 2)
        partition.onLeaderFrame(frame(starts = listOf(StartCommand(1, "b", 0, 1))), 3)
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
    fun `a request for machines with the image is offered no machine without it`() {
        val partition = newPartition()
        listOf("a", "b").forEach { partition.onHeartbeat(heartbeat(5, machine = it), 1) }
        partition.onLeaderFrame(frame(requests = listOf(request(1, 3).copy(isImageRequired = true))), 2)
        assertTrue(machinesOfferedInNextFrame(partition, 2).isEmpty()) { "a machine without the image was offered" }
        partition.onLeaderFrame(frame(requests = listOf(request(2, 4))), 3)
        partition.onLeaderFrame(frame(starts = listOf(StartCommand(2, "b", 0, 1))), 4)
        partition.nextDirectOrders(4)
        partition.onLeaderFrame(frame(requests = listOf(request(3, 3).copy(isImageRequired = true))), 5)
        assertEquals(listOf("b"), machinesOfferedInNextFrame(partition, 5)) { "expected only the machine that fetches the image" }
    }

    @Example
    fun `a machine that replies to orders but sends no heartbeats is not offered because nothing renews its lease`() {
        val partition = newPartition()
        startTask(partition)
        var nowUs = SECOND
        while (nowUs < 12 * SECOND) {
            nowUs += SECOND
            // The machine replies to probes, but its own heartbeats reach no controller.
            partition.onProbeResult(StatusProbe("m", "1.2.3.4:5", 5, 1), heartbeat(5, taskReport(TaskPhase.RUNNING)), nowUs)
        }
        partition.onLeaderFrame(frame(requests = listOf(request(2, 1))), nowUs)
        val offer = partition.nextFrame(nowUs + SECOND)!!.offers.single { it.requestNumber == 2L }
        assertTrue(offer.slots.isEmpty()) { "expected no held slots, was ${offer.slots}" }
    }
}
