package lichenstage.placement

import lichenstage.cluster.PlacementFrame
import java.util.BitSet

/** What a write of done ranges records of a job: all tasks that are recorded once it succeeds, and the chunks that change. */
data class CompletionDelta(
    val job: Job,
    val recordedTasks: BitSet,
    val chunks: List<Int>,
)

/** What follows from the leader's decisions outside of them. */
sealed interface LeaderEffect {
    /** Send a frame to the owner of a partition. */
    data class SendFrame(
        val partition: String,
        val frame: PlacementFrame,
    ) : LeaderEffect

    /** Record that these tasks are done, in one transaction. */
    data class WriteCompletionChunks(
        val deltas: List<CompletionDelta>,
    ) : LeaderEffect

    /** Record that all tasks of a job are done, and with them the job. */
    data class RecordJobCompletion(
        val job: Job,
    ) : LeaderEffect
}
