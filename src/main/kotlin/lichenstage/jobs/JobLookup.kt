package lichenstage.jobs

import lichenstage.common.Clock
import lichenstage.common.HttpStatus
import lichenstage.common.SECOND
import lichenstage.common.timeOfDayUs
import lichenstage.state.Change
import lichenstage.state.KeyValueStore
import lichenstage.state.Precondition
import lichenstage.state.ReadResult
import lichenstage.state.TransactionResult

/** Reads the state of jobs for users and cancels jobs. */
class JobLookup(
    private val store: KeyValueStore,
    private val cache: JobCache,
    private val replica: JobReplica,
    private val dependencyGraph: DependencyGraph,
    private val openRecordCheck: OpenRecordCheck,
    private val clock: Clock,
    /** Called with the job's id and the revision of its cancellation, before the user gets the reply. */
    private val onCancelled: (String, Long) -> Unit,
) {
    /** Returns the reply to a user's request for the state of a job. */
    suspend fun findStatus(id: String): Reply = if (SubmissionCodec.isValidId(id)) find(id) else Reply.unknownJob()

    /** Returns the current state of a job that was accepted, otherwise [fallback]. */
    suspend fun findExistingOrElse(
        id: String,
        fallback: () -> Reply,
    ): Reply {
        if (!SubmissionCodec.isValidId(id)) return fallback()
        return find(id).let { if (it.status == HttpStatus.NOT_FOUND) fallback() else it }
    }

    /**
     * Reads the open record first and the finished record second. One transaction deletes the open record and puts the finished one, so
     * a job that is missing in both reads was never accepted.
     */
    private suspend fun find(id: String): Reply {
        cache.finishedJob(id)?.let { return Reply.ofFinished(id, it) }
        val revision = cache.openRevision(id)
        if (revision != null) {
            when (openRecordCheck.check(JobRecordCodec.OPEN_PREFIX + id, revision)) {
                RecordState.OPEN -> return openJobReply(id, cache.dependenciesOf(id))
                RecordState.UNKNOWN -> return Reply.stateUnavailable()
                RecordState.DELETED -> cache.forgetOpen(id)
            }
        }
        return when (val read = store.get(JobRecordCodec.OPEN_PREFIX + id, READ_TIMEOUT_MS)) {
            is ReadResult.Found -> {
                val dependencies = JobRecordCodec.decodeDependencies(read.entry.value)
                cache.rememberOpen(id, read.entry.modRevision, dependencies)
                openJobReply(id, dependencies)
            }

            ReadResult.Unavailable -> {
                Reply.stateUnavailable()
            }

            ReadResult.NotFound -> {
                findFinished(id)
            }
        }
    }

    private suspend fun findFinished(id: String): Reply =
        when (val read = store.get(JobRecordCodec.FINISHED_PREFIX + id, READ_TIMEOUT_MS)) {
            is ReadResult.Found -> {
                val job = JobRecordCodec.decodeFinished(read.entry.value)
                cache.rememberFinished(id, job)
                replica.recordEnd(id, read.entry.modRevision)
                Reply.ofFinished(id, job)
            }

            ReadResult.NotFound -> {
                Reply.unknownJob()
            }

            ReadResult.Unavailable -> {
                Reply.stateUnavailable()
            }
        }

    /**
     * Returns the reply for a job with an open record.
     *
     * If a dependency is cancelled, the job is recorded as cancelled before its user sees that status. A controller that does not know of
     * the cancellation yet must not reply with an older status. While the replica of this controller is stale, the state of a waiting job
     * is unknown.
     */
    private suspend fun openJobReply(
        id: String,
        dependencies: List<String>,
    ): Reply =
        when (dependencyGraph.readiness(id, dependencies)) {
            Readiness.READY -> Reply.ofOpen(id, cache.taskProgress(id))
            Readiness.CANCELLED -> cancel(id)
            Readiness.UNKNOWN -> Reply.unavailable(STATE_NOT_KNOWN_YET)
            Readiness.WAITING -> if (isReplicaFresh()) Reply.ofOpen(id, cache.taskProgress(id)) else Reply.unavailable(STATE_NOT_KNOWN_YET)
        }

    private fun isReplicaFresh() = replica.hasReadWithin(MAX_STALENESS_US, clock.now())

    /** Records the job as cancelled, unless it has already ended, and returns its state. */
    suspend fun cancel(id: String): Reply {
        if (!SubmissionCodec.isValidId(id)) return Reply.unknownJob()
        repeat(MAX_TRIES) {
            cache.finishedJob(id)?.let { return Reply.ofFinished(id, it) }
            when (val read = store.get(JobRecordCodec.OPEN_PREFIX + id, READ_TIMEOUT_MS)) {
                is ReadResult.Found -> recordCancellation(id, read.entry.modRevision)?.let { return it }
                ReadResult.NotFound -> return find(id)
                ReadResult.Unavailable -> return Reply.stateUnavailable()
            }
        }
        return Reply.unavailable(CONFLICTING_CHANGES)
    }

    /** Records the job as cancelled. Returns null if its open record is no longer at [revision]. */
    private suspend fun recordCancellation(
        id: String,
        revision: Long,
    ): Reply? {
        val job = createFinishedJob(EndStatus.CANCELLED, cache.taskProgress(id).done)
        val changes =
            listOf(
                Change.Delete(JobRecordCodec.OPEN_PREFIX + id),
                Change.Put(JobRecordCodec.FINISHED_PREFIX + id, JobRecordCodec.encodeFinished(job)),
            )
        return when (val outcome = store.commit(listOf(Precondition(JobRecordCodec.OPEN_PREFIX + id, revision)), changes)) {
            is TransactionResult.Committed -> {
                cache.rememberFinished(id, job)
                onCancelled(id, outcome.revision)
                Reply.ofFinished(id, job)
            }

            is TransactionResult.Conflict -> {
                null
            }

            TransactionResult.LeaseExpired, TransactionResult.Invalid, TransactionResult.Rejected, TransactionResult.Indeterminate -> {
                Reply.stateUnavailable()
            }
        }
    }

    companion object {
        /** Returns the recorded end of a job that ends at the current time of day. */
        fun createFinishedJob(
            status: EndStatus,
            completedTasks: Int,
        ) = FinishedJob(JobOutcome(status, timeOfDayUs()), completedTasks)

        /** The time limit for a read of the state service on behalf of a user. */
        const val READ_TIMEOUT_MS = 1400L

        /** The error message for a request whose transactions conflicted with other changes, so that the user should repeat it. */
        const val CONFLICTING_CHANGES = "the job's records were changed by other requests"
        private const val STATE_NOT_KNOWN_YET = "the state of the job's dependencies is not known yet"
        private const val MAX_TRIES = 3

        /**
         * The maximum age of the replica in a reply about a waiting job. It is well below the time limit of a cancellation (`cancel_s`), so
         * that enough time is left to write the cancellations.
         */
        private const val MAX_STALENESS_US = 10 * SECOND
    }
}
