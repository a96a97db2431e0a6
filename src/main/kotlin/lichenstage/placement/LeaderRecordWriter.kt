package lichenstage.placement

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import lichenstage.authority.OwnershipRecords
import lichenstage.common.timeOfDayUs
import lichenstage.jobs.CompletedTaskCodec
import lichenstage.jobs.EndStatus
import lichenstage.jobs.FinishedJob
import lichenstage.jobs.JobOutcome
import lichenstage.jobs.JobRecordCodec
import lichenstage.state.Change
import lichenstage.state.KeyValueStoreClient
import lichenstage.state.Precondition
import lichenstage.state.ReadResult
import lichenstage.state.SingleWriterKeys
import lichenstage.state.TransactionResult
import lichenstage.state.WriteOutcome

/**
 * Writes the leader's records: completion chunks, finished jobs and registry chunks.
 *
 * The leadership is a precondition of every write, so a late transaction of an earlier leader changes nothing. [SingleWriterKeys] prevents
 * a late transaction of this leader from changing anything. Completion chunks of a job that has finished in the meantime are deleted.
 */
internal class LeaderRecordWriter(
    private val store: KeyValueStoreClient,
    private val singleWriterKeys: SingleWriterKeys,
    /** The revision of the leadership's key. */
    leaderKeyRevision: Long,
    private val scope: CoroutineScope,
    private val onJobFinished: (String, JobOutcome) -> Unit,
    private val tell: (LeaderMessage) -> Unit,
) {
    private val leadershipPrecondition = Precondition(OwnershipRecords.LEADER_KEY, leaderKeyRevision)

    /** Records tasks as done. The outcome arrives as [LeaderMessage.CompletionChunksWritten]. */
    fun writeCompletionChunks(deltas: List<CompletionDelta>) {
        scope.launch {
            val puts =
                deltas.flatMap { delta ->
                    delta.chunks.map {
                        Change.Put(
                            CompletedTaskCodec.chunkKey(delta.job.spec.id, it),
                            CompletedTaskCodec.encode(delta.recordedTasks, it),
                        )
                    }
                }
            val outcome = write(puts)
            if (outcome != WriteOutcome.COMMITTED) delay(RETRY_MS)
            tell(LeaderMessage.CompletionChunksWritten(deltas, outcome))
        }
    }

    /** Records a job as done and deletes its open record. The outcome arrives as [LeaderMessage.JobCompletionWritten]. */
    fun recordJobCompletion(job: Job) {
        scope.launch {
            val id = job.spec.id
            val preconditions = listOf(leadershipPrecondition, Precondition(JobRecordCodec.OPEN_PREFIX + id, job.createRevision))
            val finishedJob = FinishedJob(JobOutcome(EndStatus.DONE, timeOfDayUs()), job.spec.taskCount)
            val outcome =
                store.commit(
                    preconditions,
                    listOf(
                        Change.Delete(JobRecordCodec.OPEN_PREFIX + id),
                        Change.Put(JobRecordCodec.FINISHED_PREFIX + id, JobRecordCodec.encodeFinished(finishedJob)),
                    ),
                )
            val isStillOpen = outcome !is TransactionResult.Conflict || store.get(JobRecordCodec.OPEN_PREFIX + id) !is ReadResult.NotFound
            if (outcome is TransactionResult.Committed) onJobFinished(id, finishedJob.outcome) else delay(RETRY_MS)
            tell(LeaderMessage.JobCompletionWritten(job, outcome, isStillOpen))
        }
    }

    /**
     * Records jobs that can never run as cancelled, in one transaction. If this transaction fails, for example because one of the jobs has
     * finished in the meantime, each job is recorded in a transaction of its own.
     */
    fun cancelUnrunnableJobs(jobs: List<Job>) {
        scope.launch {
            val cancelledJobs = if (recordCancelled(jobs)) jobs else jobs.filter { recordCancelled(listOf(it)) }
            if (cancelledJobs.isEmpty()) delay(RETRY_MS)
            tell(LeaderMessage.UnrunnableJobsCancelled(cancelledJobs))
        }
    }

    private suspend fun recordCancelled(jobs: List<Job>): Boolean {
        val preconditions = jobs.map { Precondition(JobRecordCodec.OPEN_PREFIX + it.spec.id, it.createRevision) } + leadershipPrecondition
        val finishedJob = FinishedJob(JobOutcome(EndStatus.CANCELLED, timeOfDayUs()), 0)
        val changes =
            jobs.flatMap {
                val id = it.spec.id
                listOf(
                    Change.Delete(JobRecordCodec.OPEN_PREFIX + id),
                    Change.Put(JobRecordCodec.FINISHED_PREFIX + id, JobRecordCodec.encodeFinished(finishedJob)),
                )
            }
        return store.commit(preconditions, changes, isUrgent = false) is TransactionResult.Committed
    }

    /** Writes registry chunks. The outcome arrives as [LeaderMessage.RegistryChunksWritten]. */
    fun writeRegistryChunks(chunks: List<RegistryChunk>) {
        scope.launch {
            val outcome = singleWriterKeys.write(listOf(leadershipPrecondition), chunks.map { it.change }, isUrgent = true)
            if (outcome != WriteOutcome.COMMITTED) delay(RETRY_MS)
            tell(LeaderMessage.RegistryChunksWritten(chunks, outcome))
        }
    }

    /**
     * Deletes the completion chunks of a finished job. Does nothing while a write of these chunks is in flight; the outcome of the write
     * triggers another call.
     */
    fun deleteCompletionChunks(job: Job) {
        if (job.isChunkWriteInFlight || job.recordedTasks.isEmpty) return
        deleteKeys((0 until CompletedTaskCodec.chunkCount(job.spec.taskCount)).map { CompletedTaskCodec.chunkKey(job.spec.id, it) })
    }

    /** Deletes completion chunks that are no longer needed. */
    fun deleteKeys(keys: List<String>) {
        if (keys.isNotEmpty()) scope.launch { write(keys.map { Change.Delete(it) }) }
    }

    private suspend fun write(changes: List<Change>) = singleWriterKeys.write(listOf(leadershipPrecondition), changes, isUrgent = false)

    private companion object {
        const val RETRY_MS = 300L
    }
}
