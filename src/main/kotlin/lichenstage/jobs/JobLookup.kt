package lichenstage.jobs

import io.vertx.core.json.JsonObject
import lichenstage.common.Clock
import lichenstage.common.SECOND
import lichenstage.common.timeOfDayUs
import lichenstage.state.Change
import lichenstage.state.KeyValueStore
import lichenstage.state.Precondition
import lichenstage.state.ReadResult
import lichenstage.state.TransactionResult

/** Answers where a job stands, and cancels jobs. */
class JobLookup(
    private val state: KeyValueStore,
    private val memory: JobMemory,
    private val replica: JobReplica,
    private val pipelines: Pipelines,
    private val openCheck: OpenRecordCheck,
    private val clock: Clock,
    private val cancelled: (String, Long) -> Unit,
) {
    /** The job's state, for a user who asks. */
    suspend fun show(id: String): Reply = if (JobCodec.validId(id)) find(id) else Reply.unknownJob()

    /** The current state of a job that is known, else [otherwise]. */
    suspend fun known(
        id: String,
        otherwise: () -> Reply,
    ): Reply {
        if (!JobCodec.validId(id)) return otherwise()
        return find(id).let { if (it.status == Reply.NOT_FOUND) otherwise() else it }
    }

    /**
     * The open record first, the finished one after: a record moves from the one to the other in one transaction, so that
     * a job missing in both was never accepted.
     */
    private suspend fun find(id: String): Reply {
        memory.over(id)?.let { return Reply.ofOver(id, it) }
        val stamp = memory.stamp(id)
        if (stamp != null) {
            when (openCheck.ask(JobRecord.OPEN + id, stamp)) {
                RecordState.OPEN -> return open(id, memory.dependencies(id))
                RecordState.UNKNOWN -> return Reply.stateUnavailable()
                RecordState.GONE -> memory.forgetOpen(id)
            }
        }
        return when (val read = state.get(JobRecord.OPEN + id, READ_TIMEOUT_MS)) {
            is ReadResult.Found -> {
                val needed = JobRecord.dependencies(read.entry.value)
                memory.rememberOpen(id, read.entry.modRevision, needed)
                open(id, needed)
            }

            ReadResult.Unavailable -> {
                Reply.stateUnavailable()
            }

            ReadResult.NotFound -> {
                findOver(id)
            }
        }
    }

    private suspend fun findOver(id: String): Reply =
        when (val over = state.get(JobRecord.FINISHED + id, READ_TIMEOUT_MS)) {
            is ReadResult.Found -> {
                memory.rememberOver(id, over.entry.value)
                replica.learned(id, over.entry.modRevision)
                Reply.ofOver(id, over.entry.value)
            }

            ReadResult.NotFound -> {
                Reply.unknownJob()
            }

            ReadResult.Unavailable -> {
                Reply.stateUnavailable()
            }
        }

    /**
     * The record is open; what the job needs may say otherwise. One that is cancelled by that is recorded as such before its user hears
     * it: another controller may not know yet, and must not give an older answer. While this one has not heard of ends for long, it
     * can't tell, and says so.
     */
    private suspend fun open(
        id: String,
        needed: List<String>,
    ): Reply =
        when (pipelines.readiness(id, needed)) {
            Readiness.READY -> Reply.ofOpen(id, memory.progress(id))
            Readiness.CANCELLED -> cancel(id)
            Readiness.UNKNOWN -> Reply.later("not known yet")
            Readiness.WAITING -> if (fresh()) Reply.ofOpen(id, memory.progress(id)) else Reply.later("not known yet")
        }

    private fun fresh() = replica.readWithin(MOST_STALE_US, clock.now())

    /** Records the job as cancelled, unless it is over. */
    suspend fun cancel(id: String): Reply {
        if (!JobCodec.validId(id)) return Reply.unknownJob()
        repeat(MOST_TRIES) {
            memory.over(id)?.let { return Reply.ofOver(id, it) }
            when (val read = state.get(JobRecord.OPEN + id, READ_TIMEOUT_MS)) {
                is ReadResult.Found -> recordCancelled(id, read.entry.modRevision)?.let { return it }
                ReadResult.NotFound -> return find(id)
                ReadResult.Unavailable -> return Reply.stateUnavailable()
            }
        }
        return Reply.later("undecided")
    }

    /** Null where the record has changed meanwhile. */
    private suspend fun recordCancelled(
        id: String,
        stamp: Long,
    ): Reply? {
        val record = overNow("cancelled", memory.progress(id).done)
        val changes = listOf(Change.Delete(JobRecord.OPEN + id), Change.Put(JobRecord.FINISHED + id, record))
        return when (val outcome = state.commit(listOf(Precondition(JobRecord.OPEN + id, stamp)), changes)) {
            is TransactionResult.Committed -> {
                memory.rememberOver(id, record)
                cancelled(id, outcome.revision)
                Reply.ofOver(id, record)
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
        /** The record of a job that is over now. */
        fun overNow(
            status: String,
            tasks: Int,
        ): JsonObject = JobRecord.over(status, tasks, timeOfDayUs())

        /** How long a read of the state service may take for a user. */
        const val READ_TIMEOUT_MS = 1400L
        private const val MOST_TRIES = 3

        /** Well within the time that a cancellation has, with the rest of it left for what has to be written. */
        private const val MOST_STALE_US = 10 * SECOND
    }
}
