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
import lichenstage.state.WriteOutcome

/** A message to the leader's actor: from another actor or controller, or the outcome of one of its own calls. */
sealed interface LeaderMessage {
    /** A message about jobs and their records. */
    sealed interface JobMessage : LeaderMessage

    /** A frame from the owner of a partition, with the changes in the partition. */
    data class PartitionFrameReceived(
        val frame: PartitionFrame,
    ) : LeaderMessage

    /** The records at the start of the term have been read: open jobs, completion chunks and registry chunks. */
    data class RecordsLoaded(
        val openJobs: List<Entry>,
        val completionChunks: List<Entry>,
        val registryChunks: List<Entry>,
    ) : LeaderMessage

    /** All open jobs have been read again, because the store has compacted the revision that the watch continued from. */
    data class OpenJobsReloaded(
        val jobs: List<Entry>,
    ) : JobMessage

    /**
     * Open jobs have changed since the last event of the watch: [addedRecords] were created, and the records at [removedKeys] were
     * deleted.
     */
    data class OpenJobsChanged(
        val addedRecords: List<Entry>,
        val removedKeys: List<String>,
    ) : JobMessage

    /**
     * Other controllers have reported that [jobs] are finished. The leader depends on these reports when its own watch gets no replies but
     * the watches of the other controllers do.
     */
    data class JobsFinished(
        val jobs: List<String>,
    ) : JobMessage

    /** Some jobs that others depend on are now known to be finished. */
    data object DependenciesResolved : JobMessage

    /** Jobs have been recorded as cancelled, each because one of its dependencies is cancelled. */
    data class UnrunnableJobsCancelled(
        val jobs: List<Job>,
    ) : JobMessage

    /** The outcome of a write of completion chunks. */
    data class CompletionChunksWritten(
        val deltas: List<CompletionDelta>,
        val outcome: WriteOutcome,
    ) : JobMessage

    /** The outcome of the transaction that records a job as done. [isStillOpen] is true unless the open record is known to be deleted. */
    data class JobCompletionWritten(
        val job: Job,
        val outcome: TransactionResult,
        val isStillOpen: Boolean,
    ) : JobMessage

    /** The outcome of a write of registry chunks. */
    data class RegistryChunksWritten(
        val chunks: List<RegistryChunk>,
        val outcome: WriteOutcome,
    ) : LeaderMessage

    /** The cloud's reply to a provision request. */
    data class ProvisionReplyReceived(
        val request: ProvisionRequest,
        val result: ProvisionResult,
    ) : LeaderMessage

    /** The cloud's reply to a terminate call. */
    data class TerminateReplyReceived(
        val machines: List<String>,
        val result: TerminateResult,
    ) : LeaderMessage

    /** The cloud's complete list of machines, or the failure to read it. */
    data class MachineListReceived(
        val reply: CloudReply<List<ListedMachine>>,
    ) : LeaderMessage

    /** A message to the driver of drains. */
    data class DrainMessageReceived(
        val message: DrainMessage,
    ) : LeaderMessage

    /** The timer of the leader's actor has fired. */
    data object Tick : LeaderMessage
}
