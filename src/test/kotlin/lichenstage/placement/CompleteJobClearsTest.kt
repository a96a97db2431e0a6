package lichenstage.placement

import lichenstage.cluster.TaskEndCause
import lichenstage.cluster.TaskPhase
import lichenstage.cluster.TaskState
import lichenstage.common.SECOND
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals

/** Guards against done tasks that a partition clears as if their job were complete, although the job may still be cancelled. */
class CompleteJobClearsTest : LeaderFixture() {
    private fun leaderWithDoneJob(job: Job): LeaderCore {
        val leader = leaderWithPlacedJob(job)
        val done = sentStarts().map { TaskState("j-1/${it.index}", it.attemptNumber, TaskPhase.ENDED, TaskEndCause.DONE) }
        leader.onPartitionFrame(partitionFrame("z", framesTo("z").last().seq, machineState("m1", *done.toTypedArray())), 2 * SECOND)
        return leader
    }

    private fun completeJobsOfClears(leader: LeaderCore): Set<Set<String>> {
        effects.clear()
        leader.tick(10 * SECOND)
        return framesTo("z").filter { it.clears.isNotEmpty() }.mapTo(HashSet()) { it.completeJobs }
    }

    @Example
    fun `clears name the job as complete once its completion is recorded`() {
        val job = job("j-1")
        val leader = leaderWithDoneJob(job)
        leader.onCompletionRecorded(job, 9 * SECOND)
        assertEquals(setOf(setOf("j-1")), completeJobsOfClears(leader))
    }

    @Example
    fun `clears do not name a job that was cancelled, although all its tasks are done`() {
        val leader = leaderWithDoneJob(job("j-1"))
        leader.onJobClosed("j-1")
        assertEquals(setOf(emptySet<String>()), completeJobsOfClears(leader))
    }
}
