package lichenstage.jobs

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import lichenstage.state.TransactionResult

/** The state of an open record that was seen earlier. Such a record never changes; it can only be deleted when its job ends. */
enum class RecordState { OPEN, DELETED, UNKNOWN }

/**
 * Checks for many jobs at once whether their open records still exist. It sends the state service a transaction that only compares
 * revisions.
 *
 * Guards against a violation of the rule `forgotten`. Thousands of jobs are polled within seconds, and one request for each job would far
 * exceed the request limit of the state service.
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

    /** Returns the state of the record that had [revision] at [key]; [RecordState.UNKNOWN] at once if too many checks are pending. */
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

    /**
     * Completes the checks of a batch. If the transaction conflicts, the records of the named keys are deleted. The other checks are
     * repeated, because a conflict may name only some of the failed keys.
     */
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

                TransactionResult.LeaseExpired, TransactionResult.Invalid, TransactionResult.Rejected, TransactionResult.Indeterminate -> {
                    undecided.forEach { it.result.complete(RecordState.UNKNOWN) }
                    return
                }
            }
        }
        undecided.forEach { it.result.complete(RecordState.UNKNOWN) }
    }

    private companion object {
        /** The delay in which checks are collected for one batch. */
        const val BATCH_DELAY_MS = 40L
        const val MAX_TRIES = 3
        const val MAX_PENDING_CHECKS = 1000
    }
}
