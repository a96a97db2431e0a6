package lichenstage.jobs

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import lichenstage.state.TransactionResult

/** What the state service says of an open record that was seen before. It never changes but for its end. */
enum class RecordState { OPEN, DELETED, UNKNOWN }

/**
 * Asks the state service for many jobs at once whether they are still open: a transaction that only compares.
 *
 * Guards against `forgotten`: thousands of jobs are polled within seconds, and one request for each would be far above what the
 * state service takes.
 */
class OpenRecordCheck(
    private val maxPreconditions: Int,
    private val scope: CoroutineScope,
    private val waitForBatch: suspend () -> Unit = { delay(BATCH_DELAY_MS) },
    private val compare: suspend (Map<String, Long>) -> TransactionResult,
) {
    private class PendingCheck(
        val key: String,
        val revision: Long,
        val result: CompletableDeferred<RecordState>,
    )

    private val pendingChecks = ArrayDeque<PendingCheck>()
    private var isBatchRunning = false

    /** Whether the record at [key] is still the one of revision [revision]. Unknown at once where too many wait already. */
    suspend fun check(
        key: String,
        revision: Long,
    ): RecordState {
        if (pendingChecks.size >= MAX_PENDING_CHECKS) return RecordState.UNKNOWN
        val check = PendingCheck(key, revision, CompletableDeferred())
        pendingChecks += check
        if (!isBatchRunning) {
            isBatchRunning = true
            scope.launch {
                waitForBatch()
                while (pendingChecks.isNotEmpty()) runBatch(takeBatch())
                isBatchRunning = false
            }
        }
        return check.result.await()
    }

    private fun takeBatch() = List(minOf(maxPreconditions, pendingChecks.size)) { pendingChecks.removeFirst() }

    /** Those that are named as failed are gone; whether the others hold is asked again, since all need not be named. */
    private suspend fun runBatch(checks: List<PendingCheck>) {
        var undecided = checks
        repeat(MAX_TRIES) {
            if (undecided.isEmpty()) return
            when (val outcome = compare(undecided.associate { it.key to it.revision })) {
                is TransactionResult.Committed -> {
                    undecided.forEach { it.result.complete(RecordState.OPEN) }
                    return
                }

                is TransactionResult.Conflict -> {
                    val failed = outcome.failedKeys.toHashSet()
                    val (deleted, rest) = undecided.partition { it.key in failed }
                    deleted.forEach { it.result.complete(RecordState.DELETED) }
                    undecided = rest
                }

                TransactionResult.LeaseExpired, TransactionResult.Rejected, TransactionResult.Indeterminate -> {
                    undecided.forEach { it.result.complete(RecordState.UNKNOWN) }
                    return
                }
            }
        }
        undecided.forEach { it.result.complete(RecordState.UNKNOWN) }
    }

    private companion object {
        /** A short wait gathers what comes together. */
        const val BATCH_DELAY_MS = 40L
        const val MAX_TRIES = 3
        const val MAX_PENDING_CHECKS = 1000
    }
}
