package lichenstage.placement

import lichenstage.cluster.TaskPhase
import lichenstage.cluster.TaskState
import lichenstage.common.SECOND
import lichenstage.config.Objective
import lichenstage.config.ObjectiveKind
import lichenstage.config.Team
import lichenstage.model.Resources
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue

/** Tests failover, recovery of attempts and the handling of frames by the leader, without rounds of placement requests. */
class LeaderCoreTest : LeaderFixture() {
    @Example
    fun `while a registered machine is not accounted for, jobs of earlier terms wait`() {
        val leader = leader()
        leader.addRecoveredMachines(recoveredMachines("m1", "m2"))
        leader.addJob(job("j-1", createRevision = 50))
        leader.onPartitionFrame(partitionFrame("z", 0, machineState("m1")), SECOND)
        leader.tick(2 * SECOND)
        assertTrue(framesTo("z").none { it.requests.isNotEmpty() }) { "requests were sent while m2 was not accounted for" }
        leader.onPartitionFrame(partitionFrame("z", 0, machineState("m1"), machineState("m2")), 3 * SECOND)
        leader.tick(3 * SECOND)
        assertEquals("j-1", lastRequestFrame().requests.single().job) { "no request after the failover" }
    }

    @Example
    fun `a machine that is not accounted for counts with its full capacity against the limit of a team`() {
        val leader = leader()
        leader.addRecoveredMachines(recoveredMachines("m1", "m2"))
        leader.addJob(job("j-2", createRevision = 101))
        leader.onPartitionFrame(partitionFrame("z", 0, machineState("m1")), SECOND)
        leader.tick(2 * SECOND)
        assertTrue(
            framesTo("z").none { it.requests.isNotEmpty() },
        ) { "requests were sent although 16 unaccounted cores exceed the limit of 8" }
    }

    @Example
    fun `a machine without heartbeats delays the failover until its lease has expired`() {
        val leader = leader()
        leader.addRecoveredMachines(recoveredMachines("m1"))
        leader.addJob(job("j-1"))
        leader.onPartitionFrame(partitionFrame("z", 0, ageUs = 21 * SECOND), SECOND)
        assertTrue(!leader.isFailoverComplete && leader.machinesToFence() == listOf("m1")) {
            "${leader.isFailoverComplete} ${leader.machinesToFence()}"
        }
        leader.onPartitionFrame(partitionFrame("z", 0, ageUs = 23 * SECOND), 3 * SECOND)
        assertTrue(leader.isFailoverComplete) { "the failover is not complete" }
    }

    @Example
    fun `a machine that sends heartbeats without a confirmed fencing token is not accounted for until it is lost`() {
        val leader = leader()
        leader.addRecoveredMachines(recoveredMachines("m1"))
        leader.addJob(job("j-1"))
        leader.onPartitionFrame(partitionFrame("z", 0, machineState("m1", isTokenConfirmed = false), ageUs = 60 * SECOND), SECOND)
        assertFalse(leader.isFailoverComplete) { "complete although a reply may have renewed the lease of m1" }
        leader.onPartitionFrame(
            partitionFrame("z", 0, machineState("m1", isTokenConfirmed = false, isLost = true), ageUs = 61 * SECOND),
            2 * SECOND,
        )
        assertTrue(leader.isFailoverComplete) { "the failover is not complete" }
    }

    @Example
    fun `a machine that is missing from a partial frame is not accounted for`() {
        val leader = leader()
        leader.addRecoveredMachines(recoveredMachines("m1", "m2"))
        leader.addJob(job("j-1"))
        leader.onPartitionFrame(partitionFrame("z", 0, machineState("m1"), ageUs = 60 * SECOND, isFinal = false), SECOND)
        assertFalse(leader.isFailoverComplete) { "complete although m2 may be in the next frame" }
        leader.onPartitionFrame(partitionFrame("z", 0, ageUs = 60 * SECOND), 2 * SECOND)
        assertTrue(leader.isFailoverComplete) { "the failover is not complete" }
    }

    @Example
    fun `only machines with a confirmed fencing token are to be registered, and terminated machines never again`() {
        val leader = leader()
        leader.onPartitionFrame(
            partitionFrame("z", 0, machineState("m1"), machineState("m2", isTokenConfirmed = false), machineState("m3")),
            SECOND,
        )
        leader.onMachineTerminated("m3")
        leader.onPartitionFrame(partitionFrame("z", 0, machineState("m3")), 2 * SECOND)
        assertEquals(
            listOf("m1"),
            leader.machines.unregisteredMachines().map { it.machine.name },
        ) { "${leader.machines.unregisteredMachines()}" }
    }

    @Example
    fun `attempts on a machine without a record do not replace the attempts that run elsewhere`() {
        val leader = leader()
        leader.addRecoveredMachines(recoveredMachines("m1"))
        leader.addJob(job("j-1"))
        val unregisteredMachine = machineState("ghost", TaskState("j-1/0", 3, TaskPhase.RUNNING))
        leader.onPartitionFrame(
            partitionFrame("z", 0, unregisteredMachine, machineState("m1", TaskState("j-1/0", 4, TaskPhase.RUNNING))),
            SECOND,
        )
        assertTrue(leader.machines.attemptsOn("ghost").isEmpty()) { "the attempt on the machine without a record is tracked" }
        assertEquals(
            4L,
            leader.machines
                .attemptsOn("m1")
                .single()
                .number,
        ) { "the running attempt on m1 is not tracked" }
        leader.tick(SECOND)
        assertTrue(framesTo("z").flatMap { it.stops }.none { it.machine == "m1" }) { "the running attempt on m1 was stopped" }
    }

    /**
     * Guards against tracking the older of two listed attempts. This happened in a simulation of concurrent faults: a machine was
     * terminated a second before the leader's term ended. The machine was still recorded, so the next leader found its attempt.
     */
    @Example
    fun `when two attempts of a task are listed, the newer is tracked and the older stopped, in either order`() {
        for (isNewerFirst in listOf(false, true)) {
            effects.clear()
            val leader = leader()
            leader.addRecoveredMachines(recoveredMachines("back", "m1"))
            leader.addJob(job("j-1"))
            val machineStates =
                listOf(
                    machineState("back", TaskState("j-1/0", 3, TaskPhase.RUNNING)),
                    machineState("m1", TaskState("j-1/0", 4, TaskPhase.RUNNING)),
                )
            leader.onPartitionFrame(
                partitionFrame("z", 0, *(if (isNewerFirst) machineStates.reversed() else machineStates).toTypedArray()),
                SECOND,
            )
            assertTrue(leader.machines.attemptsOn("back").isEmpty()) { "the older attempt is still tracked" }
            assertEquals(
                4L,
                leader.machines
                    .attemptsOn("m1")
                    .single()
                    .number,
            ) { "the newer attempt is not tracked" }
            leader.tick(SECOND)
            assertEquals(listOf("back"), framesTo("z").flatMap { it.stops }.map { it.machine }) { "${framesTo("z").flatMap { it.stops }}" }
            leader.onPartitionFrame(partitionFrame("z", 0, machineState("back", isLost = true)), 2 * SECOND)
            leader.tick(2 * SECOND)
            leader.tick(3 * SECOND)
            assertEquals(
                1,
                lastRequestFrame().requests.single().count,
            ) { "requests for more than the one remaining task: ${lastRequestFrame().requests}" }
        }
    }

    @Example
    fun `a late frame that names a machine without a record does not delay the failover`() {
        val leader = leader()
        leader.addRecoveredMachines(recoveredMachines("m1"))
        leader.addJob(job("j-1"))
        leader.onPartitionFrame(partitionFrame("z", 0, machineState("m1"), machineState("ghost", isTokenConfirmed = false)), SECOND)
        assertTrue(leader.isFailoverComplete) { "the failover waits for a machine without a record" }
    }

    @Example
    fun `tasks found running after a leader change are tracked and not started again`() {
        val leader = leader()
        leader.addRecoveredMachines(recoveredMachines("m1"))
        leader.addJob(job("j-1"))
        leader.onPartitionFrame(partitionFrame("z", 0, machineState("m1", TaskState("j-1/0", 3, TaskPhase.RUNNING))), SECOND)
        leader.tick(2 * SECOND)
        assertEquals(1, lastRequestFrame().requests.single().count) { "${lastRequestFrame().requests}" }
    }

    @Example
    fun `tasks of a job without a record count with the full capacity of their machine`() {
        val leader = leader()
        leader.addRecoveredMachines(recoveredMachines("m1"))
        leader.addJob(job("j-2"))
        leader.onPartitionFrame(partitionFrame("z", 0, machineState("m1", TaskState("j-9/0", 3, TaskPhase.RUNNING))), SECOND)
        leader.tick(SECOND)
        assertTrue(framesTo("z").none { it.requests.isNotEmpty() }) { "requests were sent for cores that an unknown task may use" }
    }

    /**
     * Guards against work that goes through all machines on every frame. The cost is counted instead of timed: code that goes through all
     * machines looks up the capacity of each, which increments `capacityLookups`.
     */
    @Example
    fun `the cost of a frame depends on its changes, even during a failover of hundreds of machines`() {
        for (machines in listOf(400, 1600)) {
            var capacityLookups = 0
            val leader =
                leader(
                    lookups =
                        LeaderLookups({
                            capacityLookups++
                            Resources(16.0, 0.0, 64.0)
                        }),
                )
            val names = List(machines) { "m$it" }
            leader.addRecoveredMachines(recoveredMachines(*names.toTypedArray()))
            leader.addJob(job("j-1"))
            for (batch in names.chunked(100)) {
                val isLastBatch = batch.last() == names.last()
                leader.onPartitionFrame(
                    partitionFrame("z", 0, *batch.map { machineState(it) }.toTypedArray(), isFinal = isLastBatch),
                    SECOND,
                )
            }
            assertTrue(
                leader.isFailoverComplete && capacityLookups == 0,
            ) { "$capacityLookups lookups with $machines machines during the failover" }
            leader.tick(SECOND)
            val lookupsBefore = capacityLookups
            assertTrue(lookupsBefore <= machines + 10) { "$lookupsBefore lookups with $machines machines in the first tick" }
            repeat(20) {
                leader.onPartitionFrame(partitionFrame("z", 0, machineState("m$it")), SECOND + it * 10_000)
                leader.tick(SECOND + it * 10_000)
            }
            assertEquals(
                lookupsBefore,
                capacityLookups,
            ) { "${capacityLookups - lookupsBefore} lookups with $machines machines for 20 frames of one machine each" }
        }
    }
}
