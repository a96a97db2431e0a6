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
    private val openCheck: OpenRecordCheck,
    private val clock: Clock,
    /** Called with the id and the revision of the cancellation before its user is answered. */
    private val onCancelled: (String, Long) -> Unit,
) {
    /** The reply to a user's request for the state of a job. */
    suspend fun status(id: String): Reply = if (SubmissionCodec.validId(id)) find(id) else Reply.unknownJob()

    /** The current state of a job that is known, else [otherwise]. */
    suspend fun existingOr(
        id: String,
        otherwise: () -> Reply,
    ): Reply {
        if (!SubmissionCodec.validId(id)) return otherwise()
        return find(id).let { if (it.status == HttpStatus.NOT_FOUND) otherwise() else it }
    }

    /**
     * The open record first, the finished one after: a record moves from the one to the other in one transaction, so that
     * a job missing in both was never accepted.
     */
    private suspend fun find(id: String): Reply {
        cache.finished(id)?.let { return Reply.ofFinished(id, it) }
        val revision = cache.openRevision(id)
        if (revision != null) {
            when (openCheck.check(JobRecordCodec.OPEN + id, revision)) {
                RecordState.OPEN -> return open(id, cache.dependencies(id))
                RecordState.UNKNOWN -> return Reply.stateUnavailable()
                RecordState.DELETED -> cache.forgetOpen(id)
            }
        }
        return when (val read = state.get(JobRecordCodec.OPEN + id, READ_TIMEOUT_MS)) {
            is ReadResult.Found -> {
                val dependencies = JobRecordCodec.dependencies(read.entry.value)
                cache.rememberOpen(id, read.entry.modRevision, dependencies)
                open(id, dependencies)
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
        when (val finished = state.get(JobRecordCodec.FINISHED + id, READ_TIMEOUT_MS)) {
            is ReadResult.Found -> {
                val job = JobRecordCodec.decodeFinished(finished.entry.value)
                cache.rememberFinished(id, job)
                replica.recordEnd(id, finished.entry.modRevision)
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
    private suspend fun open(
        id: String,
        dependencies: List<String>,
    ): Reply =
        when (dependencyGraph.readiness(id, dependencies)) {
            Readiness.READY -> Reply.ofOpen(id, cache.progress(id))
            Readiness.CANCELLED -> cancel(id)
            Readiness.UNKNOWN -> Reply.unavailable(NOT_KNOWN_YET)
            Readiness.WAITING -> if (isReplicaFresh()) Reply.ofOpen(id, cache.progress(id)) else Reply.unavailable(NOT_KNOWN_YET)
        }

    private fun isReplicaFresh() = replica.isReadWithin(MAX_STALENESS_US, clock.now())

    /** Records the job as cancelled, unless it is over. */
    suspend fun cancel(id: String): Reply {
        if (!SubmissionCodec.validId(id)) return Reply.unknownJob()
        repeat(MAX_TRIES) {
            cache.finished(id)?.let { return Reply.ofFinished(id, it) }
            when (val read = state.get(JobRecordCodec.OPEN + id, READ_TIMEOUT_MS)) {
                is ReadResult.Found -> recordCancelled(id, read.entry.modRevision)?.let { return it }
                ReadResult.NotFound -> return find(id)
                ReadResult.Unavailable -> return Reply.stateUnavailable()
            }
        }
        return Reply.unavailable(UNDECIDED)
    }

    /** Null where the record has changed meanwhile. */
    private suspend fun recordCancelled(
        id: String,
        revision: Long,
    ): Reply? {
        val job = finishedNow(EndStatus.CANCELLED, cache.progress(id).done)
        val changes =
            listOf(Change.Delete(JobRecordCodec.OPEN + id), Change.Put(JobRecordCodec.FINISHED + id, JobRecordCodec.encodeFinished(job)))
        return when (val outcome = state.commit(listOf(Precondition(JobRecordCodec.OPEN + id, revision)), changes)) {
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
        fun finishedNow(
            status: EndStatus,
            completedTasks: Int,
        ) = FinishedJob(JobOutcome(status, timeOfDayUs()), completedTasks)

        /** How long a read of the state service may take for a user. */
        const val READ_TIMEOUT_MS = 1400L

        /** Why a request is to be repeated: its transactions met changes by others. */
        const val UNDECIDED = "undecided"
        private const val NOT_KNOWN_YET = "not known yet"
        private const val MAX_TRIES = 3

        /** Well within the time that a cancellation has, with the rest of it left for what has to be written. */
        private const val MAX_STALENESS_US = 10 * SECOND
    }
}
