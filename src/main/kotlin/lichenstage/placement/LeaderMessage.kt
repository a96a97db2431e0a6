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

/** What the leader's actor is told, by others and by what it has set going itself. */
sealed interface LeaderMessage {
    /** About jobs and their records. */
    sealed interface JobMessage : LeaderMessage

    /** A partition's owner says what has changed. */
    data class PartitionFrameReceived(
        val frame: PartitionFrame,
    ) : LeaderMessage

    /** The records with which the term begins: open jobs, done ranges, pages of the registry. */
    data class RecordsLoaded(
        val jobs: List<Entry>,
        val done: List<Entry>,
        val machines: List<Entry>,
    ) : LeaderMessage

    /** The open jobs as they stand after a watch was lost. */
    data class OpenJobsReloaded(
        val jobs: List<Entry>,
    ) : JobMessage

    /** Records of open jobs that the watch has shown, and the keys of those that are gone. */
    data class OpenJobsChanged(
        val added: List<Entry>,
        val removed: List<String>,
    ) : JobMessage

    /** Jobs that others know to be over; the watch of this leader may be the only one that is not answered. */
    data class JobsEnded(
        val jobs: List<String>,
    ) : JobMessage

    /** It has come to light how jobs ended that others need. */
    data object DependenciesResolved : JobMessage

    /** These are recorded as cancelled, since one that they need is. */
    data class OrphansCancelled(
        val jobs: List<Job>,
    ) : JobMessage

    /** What became of a transaction with done ranges. */
    data class DoneRangesWritten(
        val deltas: List<CompletionDelta>,
        val ok: Boolean,
    ) : JobMessage

    /** What became of the transaction that records a job as done; [stillOpen] unless its record is known to be gone. */
    data class CompletionWritten(
        val job: Job,
        val outcome: TransactionResult,
        val stillOpen: Boolean,
    ) : JobMessage

    /** What became of a transaction with [pages] of the registry. */
    data class RegistryPagesWritten(
        val pages: List<RegistryPage>,
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
