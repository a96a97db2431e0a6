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
    private val gather: suspend () -> Unit = { delay(GATHER_MS) },
    private val compare: suspend (Map<String, Long>) -> TransactionResult,
) {
    private class PendingCheck(
        val key: String,
        val revision: Long,
        val answer: CompletableDeferred<RecordState>,
    )

    private val waiting = ArrayDeque<PendingCheck>()
    private var running = false

    /** Whether the record at [key] is still the one of revision [revision]. Unknown at once where too many wait already. */
    suspend fun check(
        key: String,
        revision: Long,
    ): RecordState {
        if (waiting.size >= MAX_PENDING_CHECKS) return RecordState.UNKNOWN
        val check = PendingCheck(key, revision, CompletableDeferred())
        waiting += check
        if (!running) {
            running = true
            scope.launch {
                gather()
                while (waiting.isNotEmpty()) answer(next())
                running = false
            }
        }
        return check.answer.await()
    }

    private fun next() = List(minOf(maxPreconditions, waiting.size)) { waiting.removeFirst() }

    /** Those that are named as failed are gone; whether the others hold is asked again, since all need not be named. */
    private suspend fun answer(checks: List<PendingCheck>) {
        var open = checks
        repeat(MAX_TRIES) {
            if (open.isEmpty()) return
            when (val outcome = compare(open.associate { it.key to it.revision })) {
                is TransactionResult.Committed -> {
                    open.forEach { it.answer.complete(RecordState.OPEN) }
                    return
                }

                is TransactionResult.Conflict -> {
                    val failed = outcome.failedKeys.toHashSet()
                    val (deleted, rest) = open.partition { it.key in failed }
                    deleted.forEach { it.answer.complete(RecordState.DELETED) }
                    open = rest
                }

                TransactionResult.LeaseExpired, TransactionResult.Rejected, TransactionResult.Indeterminate -> {
                    open.forEach { it.answer.complete(RecordState.UNKNOWN) }
                    return
                }
            }
        }
        open.forEach { it.answer.complete(RecordState.UNKNOWN) }
    }

    private companion object {
        /** A short wait gathers what comes together. */
        const val GATHER_MS = 40L
        const val MAX_TRIES = 3
        const val MAX_PENDING_CHECKS = 1000
    }
}
