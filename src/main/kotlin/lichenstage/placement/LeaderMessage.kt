package lichenstage.placement

import lichenstage.cloud.CloudReply
import lichenstage.cloud.ListedMachine
import lichenstage.cloud.ProvisionRequest
import lichenstage.cloud.ProvisionResult
import lichenstage.cloud.TerminateResult
import lichenstage.cluster.PartitionFrame
import lichenstage.drain.DrainMessage
import lichenstage.state.Entry
import lichenstage.state.TransactionResult

/** Messages to the leader's actor: from other actors and controllers, and outcomes of its own calls. */
sealed interface LeaderMessage {
    /** About jobs and their records. */
    sealed interface JobMessage : LeaderMessage

    /** A frame of a partition's owner: what has changed there. */
    data class PartitionFrameReceived(
        val frame: PartitionFrame,
    ) : LeaderMessage

    /** The records with which the term begins have been read: open jobs, done ranges, pages of the registry. */
    data class RecordsLoaded(
        val jobs: List<Entry>,
        val done: List<Entry>,
        val machines: List<Entry>,
    ) : LeaderMessage

    /** All open jobs, read anew after the revision of the watch was compacted. */
    data class OpenJobsReloaded(
        val jobs: List<Entry>,
    ) : JobMessage

    /** Records of open jobs that were created since the last change of the watch, and the keys of those that were deleted. */
    data class OpenJobsChanged(
        val added: List<Entry>,
        val removed: List<String>,
    ) : JobMessage

    /** Jobs that other controllers know to have ended; the watch of this leader may be the only one that is not answered. */
    data class JobsEnded(
        val jobs: List<String>,
    ) : JobMessage

    /** It has become known how dependencies of jobs ended. */
    data object DependenciesResolved : JobMessage

    /** These are recorded as cancelled, since a dependency of each is. */
    data class OrphansCancelled(
        val jobs: List<Job>,
    ) : JobMessage

    /** The outcome of a transaction with done ranges. */
    data class DoneRangesWritten(
        val deltas: List<CompletionDelta>,
        val ok: Boolean,
    ) : JobMessage

    /** The outcome of the transaction that records a job as done; [stillOpen] unless its open record is known to be deleted. */
    data class CompletionWritten(
        val job: Job,
        val outcome: TransactionResult,
        val stillOpen: Boolean,
    ) : JobMessage

    /** The outcome of a transaction with [pages] of the registry. */
    data class RegistryPagesWritten(
        val pages: List<RegistryChunk>,
        val ok: Boolean,
    ) : LeaderMessage

    /** The cloud's answer to a provision request. */
    data class ProvisionAnswered(
        val request: ProvisionRequest,
        val result: ProvisionResult,
    ) : LeaderMessage

    /** The cloud's answer to a call that terminates machines. */
    data class TerminateAnswered(
        val machines: List<String>,
        val result: TerminateResult,
    ) : LeaderMessage

    /** The cloud's list of machines, whole. */
    data class ListAnswered(
        val reply: CloudReply<List<ListedMachine>>,
    ) : LeaderMessage

    /** About drains. */
    data class DrainEvent(
        val message: DrainMessage,
    ) : LeaderMessage

    /** Time has passed. */
    data object Tick : LeaderMessage
}
