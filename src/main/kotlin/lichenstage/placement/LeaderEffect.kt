package lichenstage.placement

import lichenstage.cluster.LeaderFrame
import java.util.BitSet

/**
 * The part of a write of completion chunks that concerns one job.
 *
 * @property recordedTasks all tasks that are recorded as done once the write succeeds
 * @property chunks the numbers of the completion chunks that change
 */
data class CompletionDelta(
    val job: Job,
    val recordedTasks: BitSet,
    val chunks: List<Int>,
)

/** An effect of the leader's decisions, which its actor carries out. */
sealed interface LeaderEffect {
    /** Sends a frame to the owner of a partition. */
    data class SendFrame(
        val partition: String,
        val frame: LeaderFrame,
    ) : LeaderEffect

    /** Records tasks as done. The changes are split into several transactions if they exceed the limit of one. */
    data class WriteCompletionChunks(
        val deltas: List<CompletionDelta>,
    ) : LeaderEffect

    /** Records a job as done, and with it all of its tasks. */
    data class RecordJobCompletion(
        val job: Job,
    ) : LeaderEffect
}
