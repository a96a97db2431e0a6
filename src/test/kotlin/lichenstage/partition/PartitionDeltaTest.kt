package lichenstage.partition

import lichenstage.cluster.FrameCodec
import lichenstage.cluster.LeaderFrame
import lichenstage.cluster.MachineState
import lichenstage.cluster.PartitionFrame
import lichenstage.cluster.StartCommand
import lichenstage.cluster.TaskPhase
import lichenstage.common.SECOND
import lichenstage.model.MachineLimits
import lichenstage.model.Resources
import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import java.util.Random

/** Tests that a leader can rebuild the complete state of a partition from frames that carry only changes (invariant 17). */
class PartitionDeltaTest {
    private val partition get() = testPartition.partition
    private val tasks get() = testPartition.tasks
    private var testPartition = TestPartition()

    /** A partition with the task lists that its workers report, by machine and attempt. */
    private class TestPartition(
        maxMachinesPerFrame: Int = 100,
    ) {
        val partition =
            PartitionCore(PartitionParameters("z/0", "z", 5, 3600 * SECOND, 4 * SECOND, 0, maxMachinesPerFrame)) {
                MachineLimits("t", Resources(64.0, 0.0, 512.0))
            }
        val tasks = HashMap<String, MutableMap<Long, TaskReport>>()
    }

    private var sequence = 0L
    private var nowUs = SECOND
    private var seq = 0L
    private var lastAttempt = 0L

    private fun sendHeartbeat(machine: String) {
        val reports = tasks.getOrPut(machine) { HashMap() }.values.toList()
        partition.onHeartbeat(Heartbeat(machine, "1.2.3.4:5", "t", "z", false, 1, ++sequence, 5, null, reports), nowUs)
    }

    private fun sendLeaderFrame(
        term: Long,
        acknowledgedVersion: Long,
    ) = partition.onLeaderFrame(LeaderFrame("z/0", term, ++seq, 5, acknowledgedVersion), nowUs)

    /**
     * Sends a leader frame with a start on [startedMachine]. The start is refused, since there is no hold, but the partition still reports
     * the machine in its next frame.
     */
    private fun sendLeaderFrame(
        term: Long,
        acknowledgedVersion: Long,
        startedMachine: String,
    ) = partition.onLeaderFrame(
        LeaderFrame("z/0", term, ++seq, 5, acknowledgedVersion, starts = listOf(StartCommand(1, startedMachine, 0, ++lastAttempt))),
        nowUs,
    )

    private fun nextFrame(): PartitionFrame? {
        nowUs += SECOND
        return partition.nextFrame(nowUs)?.let { FrameCodec.decode(FrameCodec.encode(it)) as PartitionFrame }
    }

    /** The leader's view of the partition. A leader of an earlier release also uses the sequence numbers of partial frames. */
    private class LeaderView(
        private val isEarlierRelease: Boolean = false,
    ) {
        var version = 0L
        val machines = HashMap<String, MachineState>()

        /** The leader frame up to which the leader regards the partition's state as complete. */
        var seq = 0L

        /** The leader frame up to which a received final frame has made the state complete. */
        var finalSeq = 0L

        fun receive(frame: PartitionFrame) {
            if (frame.since > version || frame.version < version) return
            val isSeqUsed = frame.isFinal || isEarlierRelease
            if (isSeqUsed && frame.seq < seq) return
            if (isSeqUsed) seq = frame.seq
            if (frame.isFinal) finalSeq = frame.seq
            version = frame.version
            frame.machines.forEach { machines[it.name] = it.applyTo(machines[it.name]) }
        }
    }

    @Property(tries = 120, seed = "20261204")
    fun `the leader knows the task lists although frames are lost, late or repeated`(
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        val isSmall = random.nextBoolean()
        testPartition = TestPartition(maxMachinesPerFrame = if (isSmall) 2 else 100)
        val isEarlierRelease = random.nextBoolean()
        var leader = LeaderView(isEarlierRelease)
        var term = 1L
        val sentFrames = ArrayList<PartitionFrame>()
        repeat(150) {
            repeat(random.nextInt(5)) { changeRandomTask(random, if (isSmall) FEW_MACHINES else MACHINES) }
            nextFrame()?.let { frame ->
                if (frame.leaderTerm == term && random.nextInt(4) > 0) leader.receive(frame)
                sentFrames += frame
            }
            if (random.nextInt(3) == 0 && sentFrames.isNotEmpty()) {
                val frame = sentFrames[random.nextInt(sentFrames.size)]
                if (frame.leaderTerm == term) leader.receive(frame)
            }
            if (random.nextInt(60) == 0) {
                term++
                leader = LeaderView(isEarlierRelease)
            }
            // Frames of the leader also come late or not at all.
            if (random.nextInt(3) > 0) sendLeaderFrame(term, leader.version)
            assertTrue(leader.seq <= leader.finalSeq) { "partial frames claim ${leader.seq}, final frames ${leader.finalSeq} (seed $seed)" }
        }
        repeat(2 + MACHINES) {
            sendLeaderFrame(term, leader.version)
            nextFrame()?.let(leader::receive)
        }
        for ((name, reports) in tasks) {
            val listed = leader.machines[name]?.tasks.orEmpty()
            assertTrue(listed.size == reports.size && listed.all { reports[it.attemptNumber]?.phase == it.phase }) {
                "$name: expected tasks ${reports.values}, the leader knows $listed (seed $seed)"
            }
        }
    }

    private fun changeRandomTask(
        random: Random,
        machineCount: Int,
    ) {
        val machine = "m${random.nextInt(machineCount)}"
        val reports = tasks.getOrPut(machine) { HashMap() }
        val attempt = reports.keys.randomOrNull(random)
        when {
            attempt == null || random.nextInt(3) == 0 -> {
                val number = ++lastAttempt
                reports[number] = TaskReport("j-1/$number", number, TaskPhase.FETCHING, null)
            }

            random.nextInt(2) == 0 -> {
                reports[attempt] = reports.getValue(attempt).copy(phase = TaskPhase.RUNNING)
            }

            else -> {
                reports.remove(attempt)
            }
        }
        sendHeartbeat(machine)
    }

    private fun Set<Long>.randomOrNull(random: Random) = if (isEmpty()) null else elementAt(random.nextInt(size))

    /** Guards against frames whose size grows with the number of machines and tasks. The test counts entries instead of measuring time. */
    @Example
    fun `the frame after a change of one task carries only that task, however many tasks and machines there are`() {
        for (machines in listOf(400, 1600)) {
            repeat(machines) { m ->
                repeat(12) {
                    tasks.getOrPut("m$m") { HashMap() }[++lastAttempt] =
                        TaskReport("j-1/$lastAttempt", lastAttempt, TaskPhase.RUNNING, null)
                }
                sendHeartbeat("m$m")
            }
            sendLeaderFrame(machines.toLong(), 0)
            var acknowledgedVersion = 0L
            while (true) {
                val frame = nextFrame() ?: break
                assertTrue(frame.machines.size <= 100 * (machines / 400)) { "${frame.machines.size} of $machines machines in one frame" }
                acknowledgedVersion = frame.version
                sendLeaderFrame(machines.toLong(), acknowledgedVersion)
                if (frame.isFinal) break
            }
            val attempt =
                tasks
                    .getValue("m7")
                    .values
                    .first { it.phase == TaskPhase.RUNNING }
                    .attemptNumber
            tasks.getValue("m7")[attempt] = tasks.getValue("m7").getValue(attempt).copy(phase = TaskPhase.ENDED, cause = "done")
            sendHeartbeat("m7")
            val update = nextFrame()!!
            assertTrue(
                update.machines.sumOf { it.tasks.size } == 1 && update.machines.size == 1,
            ) { "with $machines machines the frame carries ${update.machines}" }
        }
    }

    /**
     * Guards against a task that runs twice. It comes about if the final frame that reports the start of the task is lost, and then more
     * machines change than one frame carries: the first partial frame claimed to be complete up to the start, but did not list the machine.
     */
    @Example
    fun `a partial frame does not claim changes that only a lost final frame carried`() {
        testPartition = TestPartition(maxMachinesPerFrame = 1)
        listOf("m1", "m2").forEach(::sendHeartbeat)
        sendLeaderFrame(1, 0)
        val confirmed = acknowledgeAll()
        sendLeaderFrame(1, confirmed.version, startedMachine = "m1")
        val lostFrame = nextFrame()!!
        assertTrue(lostFrame.isFinal && lostFrame.seq == seq && lostFrame.machines.single().name == "m1") { "$lostFrame" }
        listOf("m2", "m1").forEach { machine ->
            tasks.getOrPut(machine) { HashMap() }[++lastAttempt] = TaskReport("j-2/$lastAttempt", lastAttempt, TaskPhase.RUNNING, null)
            sendHeartbeat(machine)
        }
        val partialFrame = nextFrame()!!
        assertTrue(!partialFrame.isFinal && partialFrame.machines.single().name == "m2") { "$partialFrame" }
        assertTrue(
            partialFrame.seq <= confirmed.seq,
        ) { "the frame claims ${partialFrame.seq}, but only ${confirmed.seq} is confirmed" }
        // Partial frames take the leader to a higher version than that of the lost frame. This does not prove that the lost frame arrived.
        sendLeaderFrame(1, partialFrame.version)
        sendHeartbeat("m2")
        tasks.getValue("m2")[++lastAttempt] = TaskReport("j-2/$lastAttempt", lastAttempt, TaskPhase.RUNNING, null)
        sendHeartbeat("m2")
        tasks.getValue("m1")[++lastAttempt] = TaskReport("j-2/$lastAttempt", lastAttempt, TaskPhase.RUNNING, null)
        sendHeartbeat("m1")
        val next = nextFrame()!!
        assertTrue(!next.isFinal && next.seq <= confirmed.seq) { "the frame claims ${next.seq}, but only ${confirmed.seq} is confirmed" }
    }

    @Example
    fun `partial frames after an acknowledged final frame claim what that frame carried`() {
        testPartition = TestPartition(maxMachinesPerFrame = 1)
        listOf("m1", "m2").forEach(::sendHeartbeat)
        sendLeaderFrame(1, 0)
        acknowledgeAll()
        val finalFrame = nextFrame()!!
        sendLeaderFrame(1, finalFrame.version)
        listOf("m2", "m1").forEach { machine ->
            tasks.getOrPut(machine) { HashMap() }[++lastAttempt] = TaskReport("j-2/$lastAttempt", lastAttempt, TaskPhase.RUNNING, null)
            sendHeartbeat(machine)
        }
        val partialFrame = nextFrame()!!
        assertTrue(
            !partialFrame.isFinal && partialFrame.seq == finalFrame.seq,
        ) { "the frame claims ${partialFrame.seq}, the leader has ${finalFrame.seq}" }
    }

    /**
     * Guards against a partition that never sends a final frame. It came about when every frame was limited to 100 machines: in a large
     * partition more machines changed than a frame carried, and the leader could not conclude anything.
     */
    @Example
    fun `a partition of 4,000 or 6,000 machines sends final frames although machines change all the time`() {
        for (count in listOf(4_000, 6_000)) {
            testPartition = TestPartition()
            val machines = List(count) { "m$it" }
            machines.forEach(::sendHeartbeat)
            sendLeaderFrame(1, 0)
            acknowledgeAll()
            var nextMachine = 0
            val finalFrames =
                (1..ROUNDS).count {
                    repeat(count / MACHINES_PER_CHANGE) { reportNewTask(machines[nextMachine++ % count]) }
                    val frame = nextFrame()!!
                    sendLeaderFrame(1, frame.version)
                    frame.isFinal
                }
            assertEquals(ROUNDS, finalFrames) { "$count machines: $finalFrames of $ROUNDS frames were final" }
        }
    }

    @Example
    fun `a frame of a partition with 72,000 tasks stays below 4 MiB`() {
        val machines = List(1_200) { "m$it" }
        for (machine in machines) {
            val reports = tasks.getOrPut(machine) { HashMap() }
            repeat(60) { reports[++lastAttempt] = TaskReport("j-000001/$lastAttempt", lastAttempt, TaskPhase.RUNNING, null) }
            sendHeartbeat(machine)
        }
        sendLeaderFrame(1, 0)
        val sizes = ArrayList<Int>()
        while (true) {
            val frame = nextFrame()!!
            sizes += FrameCodec.encode(frame).size
            sendLeaderFrame(1, frame.version)
            if (frame.isFinal) break
        }
        assertTrue(sizes.max() < 4 * 1024 * 1024) { "frame sizes in bytes: $sizes" }
    }

    private fun reportNewTask(machine: String) {
        tasks.getOrPut(machine) { HashMap() }[++lastAttempt] = TaskReport("j-3/$lastAttempt", lastAttempt, TaskPhase.RUNNING, null)
        sendHeartbeat(machine)
        tasks.getValue(machine).clear()
    }

    /** Acknowledges frames up to the first final frame and returns that frame. */
    private fun acknowledgeAll(): PartitionFrame {
        while (true) {
            val frame = nextFrame()!!
            sendLeaderFrame(1, frame.version)
            if (frame.isFinal) return frame
        }
    }

    private companion object {
        const val MACHINES = 150
        const val FEW_MACHINES = 4
        const val ROUNDS = 20

        /** One machine in this many changes before the leader acknowledges a frame, about 0.3 s after the frame was sent. */
        const val MACHINES_PER_CHANGE = 10
    }
}
