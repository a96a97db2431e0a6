package lichenstage.placement

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import lichenstage.authority.OwnershipRecords
import lichenstage.common.timeOfDayUs
import lichenstage.jobs.CompletedTaskRanges
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

/**
 * Writes what the leader records: done tasks, ends of jobs, pages of the registry.
 *
 * Guarded by the leadership: a late transaction of an earlier leader changes nothing, and ranges of a job that ended
 * meanwhile are deleted. A late one of this leader is kept from changing anything by [SingleWriterKeys].
 */
internal class LeaderRecordWriter(
    private val state: KeyValueStoreClient,
    private val owned: SingleWriterKeys,
    /** The revision of the leadership's key. */
    leaderKeyRevision: Long,
    private val txnOps: Int,
    private val scope: CoroutineScope,
    private val finished: (String, JobOutcome) -> Unit,
    private val tell: (LeaderMessage) -> Unit,
) {
    private val leadership = Precondition(OwnershipRecords.LEADER_KEY, leaderKeyRevision)

    /** Records done tasks; answered by [LeaderMessage.DoneRangesWritten]. */
    fun writeRanges(deltas: List<CompletionDelta>) {
        scope.launch {
            val puts =
                deltas.flatMap { row ->
                    row.chunks.map {
                        Change.Put(
                            CompletedTaskRanges.key(row.job.spec.id, it),
                            CompletedTaskRanges.encode(row.recordedTasks, it),
                        )
                    }
                }
            val written = writeAll(puts)
            if (!written) delay(RETRY_MS)
            tell(LeaderMessage.DoneRangesWritten(deltas, written))
        }
    }

    /** Records a job as done and deletes its open record; answered by [LeaderMessage.CompletionWritten]. */
    fun recordCompletion(job: Job) {
        scope.launch {
            val id = job.spec.id
            val preconditions = listOf(leadership, Precondition(JobRecordCodec.OPEN + id, job.createRevision))
            val end = FinishedJob(JobOutcome(EndStatus.DONE, timeOfDayUs()), job.spec.tasks)
            val outcome =
                state.commit(
                    preconditions,
                    listOf(
                        Change.Delete(JobRecordCodec.OPEN + id),
                        Change.Put(JobRecordCodec.FINISHED + id, JobRecordCodec.encodeFinished(end)),
                    ),
                )
            val stillOpen = outcome !is TransactionResult.Conflict || state.get(JobRecordCodec.OPEN + id) !is ReadResult.NotFound
            if (outcome is TransactionResult.Committed) finished(id, end.outcome) else delay(RETRY_MS)
            tell(LeaderMessage.CompletionWritten(job, outcome, stillOpen))
        }
    }

    /** Records jobs that can never run as cancelled: in one transaction, or one by one where one of them has ended meanwhile. */
    fun cancelOrphans(jobs: List<Job>) {
        scope.launch {
            val written = if (recordCancelled(jobs)) jobs else jobs.filter { recordCancelled(listOf(it)) }
            if (written.isEmpty()) delay(RETRY_MS)
            tell(LeaderMessage.OrphansCancelled(written))
        }
    }

    private suspend fun recordCancelled(jobs: List<Job>): Boolean {
        val preconditions = jobs.map { Precondition(JobRecordCodec.OPEN + it.spec.id, it.createRevision) } + leadership
        val end = FinishedJob(JobOutcome(EndStatus.CANCELLED, timeOfDayUs()), 0)
        val changes =
            jobs.flatMap {
                val id = it.spec.id
                listOf(
                    Change.Delete(JobRecordCodec.OPEN + id),
                    Change.Put(JobRecordCodec.FINISHED + id, JobRecordCodec.encodeFinished(end)),
                )
            }
        return state.commit(preconditions, changes, isUrgent = false) is TransactionResult.Committed
    }

    /** Writes pages of the registry; answered by [LeaderMessage.RegistryPagesWritten]. */
    fun writePages(pages: List<RegistryChunk>) {
        scope.launch {
            val written = owned.write(listOf(leadership), pages.map { it.change }, isUrgent = true)
            if (!written) delay(RETRY_MS)
            tell(LeaderMessage.RegistryPagesWritten(pages, written))
        }
    }

    /** Deletes the done ranges of a job that has ended. Where some are still being written, that is done after it. */
    fun deleteRanges(job: Job) {
        if (job.isRangesWriteInFlight || job.recordedTasks.isEmpty) return
        delete((0 until CompletedTaskRanges.chunks(job.spec.tasks)).map { CompletedTaskRanges.key(job.spec.id, it) })
    }

    /** Deletes done ranges that are of no more use. */
    fun delete(keys: List<String>) {
        if (keys.isNotEmpty()) scope.launch { writeAll(keys.map { Change.Delete(it) }) }
    }

    private suspend fun writeAll(changes: List<Change>): Boolean {
        val preconditions = listOf(leadership)
        return changes.chunked(txnOps).all { owned.write(preconditions, it, isUrgent = false) }
    }

    private companion object {
        const val RETRY_MS = 300L
    }
}
