package lichenstage.placement

import lichenstage.cluster.PlacementFrame
import java.util.BitSet

/** Tasks of a job that are done but not recorded, and the chunks in which they fall. */
data class CompletionDelta(
    val job: Job,
    val recordedTasks: BitSet,
    val chunks: List<Int>,
)

/** What the leader's decisions ask of the outside. */
sealed interface LeaderEffect {
    /** Send a frame to the owner of a partition. */
    data class SendFrame(
        val partition: String,
        val frame: PlacementFrame,
    ) : LeaderEffect

    /** Record that these tasks are done, in one transaction. */
    data class WriteDoneRanges(
        val deltas: List<CompletionDelta>,
    ) : LeaderEffect

    /** Record that all tasks of a job are done, and with them the job. */
    data class RecordCompletion(
        val job: Job,
    ) : LeaderEffect
}
