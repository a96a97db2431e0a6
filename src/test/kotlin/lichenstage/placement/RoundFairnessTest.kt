package lichenstage.placement

import lichenstage.cluster.HeldSlots
import lichenstage.cluster.LeaderFrame
import lichenstage.cluster.MachineState
import lichenstage.cluster.Offer
import lichenstage.cluster.TaskPhase
import lichenstage.cluster.TaskState
import lichenstage.common.MILLI
import lichenstage.common.SECOND
import lichenstage.config.Team
import lichenstage.model.JobSpec
import lichenstage.model.Resources
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

/** Guards against jobs that wait beside free machines because the jobs before them in the queue, which cannot be placed, fill every round. */
class RoundFairnessTest : LeaderFixture() {
    private val unlimitedTeams = mapOf("red" to Team("red", 0.0, Double.POSITIVE_INFINITY, 0.0, Double.POSITIVE_INFINITY))
    private var nowUs = SECOND
    private var answeredSeq = -1L
    private var rounds = 0
    private var listedTasks = emptyList<TaskState>()

    /** The slots that are free in zone z. Zone y has no machine. */
    private var freeSlots = 0

    private fun startedLeader(teams: Map<String, Team> = unlimitedTeams): LeaderCore {
        val leader = leader(teams)
        leader.onMachinesRegistered(mapOf("m1" to "z/0"))
        leader.onPartitionFrame(partitionFrame("y", 0), nowUs)
        leader.onPartitionFrame(partitionFrame("z", 0, machineState("m1")), nowUs)
        return leader
    }

    private fun LeaderCore.add(
        number: Int,
        tasks: Int = 1,
        change: (JobSpec) -> JobSpec = { it },
    ) = Job(change(spec("j-$number", tasks)), 101, number.toLong()).also { addJob(it) }

    /** Lets [durationUs] pass, with offers from both partitions to each round. Returns the frames with requests. */
    private fun LeaderCore.run(durationUs: Long): List<LeaderFrame> {
        val requestFrames = ArrayList<LeaderFrame>()
        val endsAtUs = nowUs + durationUs
        while (nowUs < endsAtUs) {
            nowUs += 50 * MILLI
            tick(nowUs)
            val frame = framesTo("z").lastOrNull { it.requests.isNotEmpty() && it.seq > answeredSeq } ?: continue
            answeredSeq = frame.seq
            rounds++
            requestFrames += frame
            onPartitionFrame(
                partitionFrame("y", framesTo("y").last().seq, offers = frame.requests.map { emptyOffer(it.requestNumber) }),
                nowUs,
            )
            onPartitionFrame(partitionFrame("z", frame.seq, *changedMachines(), offers = offersInZ(frame)), nowUs)
            val startsBefore = sentStarts().size
            tick(nowUs)
            freeSlots -= sentStarts().size - startsBefore
        }
        return requestFrames
    }

    /** The state of the machine, which runs all tasks that were started on it, if it has changed. */
    private fun LeaderCore.changedMachines(): Array<MachineState> {
        val tasks = machines.attemptsOn("m1").map { TaskState(it.taskId, it.number, TaskPhase.RUNNING) }
        if (tasks == listedTasks) return emptyArray()
        listedTasks = tasks
        return arrayOf(machineState("m1", *tasks.toTypedArray()))
    }

    private fun emptyOffer(requestNumber: Long) = Offer(requestNumber, emptyList())

    /** Holds the free slots for the requests in the order of their numbers. */
    private fun offersInZ(frame: LeaderFrame): List<Offer> {
        var free = freeSlots
        return frame.requests.sortedBy { it.requestNumber }.map { request ->
            val count = if (request.zone == "y" || request.isImageRequired) 0 else minOf(request.count, free)
            free -= count
            Offer(request.requestNumber, if (count > 0) listOf(HeldSlots("m1", count, count, true)) else emptyList())
        }
    }

    @Example
    fun `jobs that can be placed start although more jobs than a round has places wait for a zone without machines`() {
        val leader = startedLeader()
        repeat(60) { leader.add(it) { spec -> spec.copy(zone = "y") } }
        val placeableJobs = List(5) { leader.add(100 + it) }
        freeSlots = 5
        leader.run(5 * SECOND)
        assertTrue(placeableJobs.all { it.liveAttempts.size == 1 }) { "waiting: ${placeableJobs.count { it.liveAttempts.isEmpty() }}" }
    }

    @Example
    fun `each of hundreds of kinds of requests is asked for within a minute although nothing changes`() {
        val leader = startedLeader()
        repeat(600) { leader.add(it) { spec -> spec.copy(zone = "y", resources = Resources(4.0, 0.0, 1.0 + it)) } }
        val placeableJob = leader.add(1000)
        leader.run(SECOND)
        freeSlots = 1
        leader.run(60 * SECOND)
        assertEquals(1, placeableJob.liveAttempts.size) { "not requested in $rounds rounds" }
    }

    @Example
    fun `jobs that cannot be placed do not use up the limit of their team`() {
        val leader = startedLeader(teams)
        repeat(30) { leader.add(it, tasks = 8) { spec -> spec.copy(zone = "y") } }
        val placeableJob = leader.add(100)
        freeSlots = 1
        leader.run(5 * SECOND)
        assertEquals(1, placeableJob.liveAttempts.size) { "the team is under its limit, and its job is not requested" }
    }

    /** A spread job that has half of its tasks in the only zone with free machines is offered slots there that it cannot use. */
    @Example
    fun `a job that cannot use the slots offered to it leaves them to the jobs behind it`() {
        val leader = startedLeader()
        val spreadJob = leader.add(1, tasks = 4) { it.copy(requiresSpread = true) }
        freeSlots = 4
        leader.run(2 * SECOND)
        assertEquals(2, spreadJob.liveAttempts.size) { "more than half of the tasks are in one zone" }
        val otherJob = leader.add(2, tasks = 2)
        leader.run(2 * SECOND)
        assertEquals(2, otherJob.liveAttempts.size) { "the slots are held for a job that cannot use them" }
    }

    @Example
    fun `while no capacity is free, every round requests for the first jobs of the queue, in queue order`() {
        val leader = startedLeader()
        repeat(80) { leader.add(it, tasks = 3) { spec -> spec.copy(resources = Resources(4.0, 0.0, 1.0 + it / 20)) } }
        val frames = leader.run(10 * SECOND)
        assertTrue(frames.size >= 10)
        val head =
            frames
                .first()
                .requests
                .take(16)
                .map { it.job }
        for (frame in frames) {
            assertEquals(
                head,
                frame.requests
                    .sortedBy { it.requestNumber }
                    .take(16)
                    .map { it.job },
            ) { "the first jobs lost their places" }
            assertTrue(frame.requests.distinctBy { it.job }.size <= 24) { "too many jobs in one round" }
        }
        freeSlots = 1
        val attemptsBefore = sentStarts().size
        leader.run(SECOND)
        val started = leader.jobs.values.filter { it.liveAttempts.isNotEmpty() }
        assertEquals(listOf(head.first()), started.map { it.spec.id }) { "$attemptsBefore attempts before" }
    }
}
