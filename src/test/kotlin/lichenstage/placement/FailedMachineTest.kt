package lichenstage.placement

import lichenstage.cluster.TaskEndCause
import lichenstage.cluster.TaskPhase
import lichenstage.cluster.TaskState
import lichenstage.common.SECOND
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals

/**
 * Guards against a lone job whose tasks are started on the same faulty machine again and again: the machine is empty after each failure,
 * so it is the roomiest one.
 */
class FailedMachineTest : LeaderFixture() {
    private var nowUs = 2 * SECOND

    /** Fails both tasks of j-1 on m1, where they were placed. */
    private fun failOnFirstMachine(leader: LeaderCore) {
        val failed = sentStarts().map { TaskState("j-1/${it.index}", it.attemptNumber, TaskPhase.ENDED, TaskEndCause.ERROR) }
        leader.onPartitionFrame(
            partitionFrame("z", framesTo("z").last().seq, machineState("m1", *failed.toTypedArray()), machineState("m2")),
            nowUs,
        )
        leader.onMachinesRegistered(mapOf("m2" to "z/0"))
    }

    /** Runs rounds until [untilUs] in which [machine] is offered for each request. Returns the machines on which tasks were started. */
    private fun offer(
        leader: LeaderCore,
        machine: String,
        untilUs: Long,
    ): List<String> {
        val startsBefore = sentStarts().size
        while (nowUs < untilUs) {
            nowUs += SECOND / 4
            leader.tick(nowUs)
            val frame = lastRequestFrame()
            leader.onPartitionFrame(partitionFrame("y", framesTo("y").last().seq), nowUs)
            leader.onPartitionFrame(partitionFrame("z", frame.seq, offers = offersFor(frame, machine, 2)), nowUs)
            leader.tick(nowUs)
        }
        return sentStarts().drop(startsBefore).map { it.machine }
    }

    @Example
    fun `tasks that failed on a machine are not started there for half a minute, but on another machine`() {
        val leader = leaderWithPlacedJob()
        failOnFirstMachine(leader)
        assertEquals(emptyList<String>(), offer(leader, "m1", 31 * SECOND)) { "started again where the tasks have failed" }
        assertEquals(listOf("m2", "m2"), offer(leader, "m2", 33 * SECOND)) { "not started on the other machine" }
    }

    @Example
    fun `where no other machine is offered, the tasks are tried there again within 90 s`() {
        val leader = leaderWithPlacedJob()
        failOnFirstMachine(leader)
        assertEquals(listOf("m1", "m1"), offer(leader, "m1", 40 * SECOND)) { "not tried again" }
    }
}
