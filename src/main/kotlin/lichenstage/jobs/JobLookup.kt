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

/** Reads the state of jobs for users, and cancels jobs. */
class JobLookup(
    private val state: KeyValueStore,
    private val cache: JobCache,
    private val replica: JobReplica,
    private val dependencyGraph: DependencyGraph,
    private val openRecordCheck: OpenRecordCheck,
    private val clock: Clock,
    /** Called with the id and the revision of the cancellation before its user is answered. */
    private val onCancelled: (String, Long) -> Unit,
) {
    /** The reply to a user's request for the state of a job. */
    suspend fun findStatus(id: String): Reply = if (SubmissionCodec.isValidId(id)) find(id) else Reply.unknownJob()

    /** The current state of a job that is known, else [fallback]. */
    suspend fun findExistingOrElse(
        id: String,
        fallback: () -> Reply,
    ): Reply {
        if (!SubmissionCodec.isValidId(id)) return fallback()
        return find(id).let { if (it.status == HttpStatus.NOT_FOUND) fallback() else it }
    }

    /**
     * The open record first, the finished one after: a record moves from the one to the other in one transaction, so that
     * a job missing in both was never accepted.
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
        return when (val read = state.get(JobRecordCodec.OPEN_PREFIX + id, READ_TIMEOUT_MS)) {
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
        when (val read = state.get(JobRecordCodec.FINISHED_PREFIX + id, READ_TIMEOUT_MS)) {
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
     * The record is open, but a dependency may be cancelled. The job is then recorded as cancelled before its user sees that: another
     * controller may not know yet, and must not give an older answer. While the replica of this one is stale the state is not known.
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

    /** Records the job as cancelled, unless it is over. */
    suspend fun cancel(id: String): Reply {
        if (!SubmissionCodec.isValidId(id)) return Reply.unknownJob()
        repeat(MAX_TRIES) {
            cache.finishedJob(id)?.let { return Reply.ofFinished(id, it) }
            when (val read = state.get(JobRecordCodec.OPEN_PREFIX + id, READ_TIMEOUT_MS)) {
                is ReadResult.Found -> recordCancellation(id, read.entry.modRevision)?.let { return it }
                ReadResult.NotFound -> return find(id)
                ReadResult.Unavailable -> return Reply.stateUnavailable()
            }
        }
        return Reply.unavailable(CONFLICTING_CHANGES)
    }

    /** Null where the record has changed meanwhile. */
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
        return when (val outcome = state.commit(listOf(Precondition(JobRecordCodec.OPEN_PREFIX + id, revision)), changes)) {
            is TransactionResult.Committed -> {
                cache.rememberFinished(id, job)
                onCancelled(id, outcome.revision)
                Reply.ofFinished(id, job)
            }

            is TransactionResult.Conflict -> {
                null
            }

            TransactionResult.LeaseExpired, TransactionResult.Rejected, TransactionResult.Indeterminate -> {
                Reply.stateUnavailable()
            }
        }
    }

    companion object {
        /** The end of a job that ends now. */
        fun createFinishedJob(
            status: EndStatus,
            completedTasks: Int,
        ) = FinishedJob(JobOutcome(status, timeOfDayUs()), completedTasks)

        /** How long a read of the state service may take for a user. */
        const val READ_TIMEOUT_MS = 1400L

        /** Why a request is to be repeated: its transactions met changes by others. */
        const val CONFLICTING_CHANGES = "undecided"
        private const val STATE_NOT_KNOWN_YET = "not known yet"
        private const val MAX_TRIES = 3

        /** Well within the time that a cancellation has, with the rest of it left for what has to be written. */
        private const val MAX_STALENESS_US = 10 * SECOND
    }
}
