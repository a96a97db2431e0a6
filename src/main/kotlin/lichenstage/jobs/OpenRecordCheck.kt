package lichenstage.jobs

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import lichenstage.state.TransactionResult

/** What the state service says of an open record that was seen before. It never changes but for its end. */
enum class RecordState { OPEN, GONE, UNKNOWN }

/**
 * Asks the state service for many jobs at once whether they are still open: a transaction that only compares.
 *
 * Guards against `forgotten`: thousands of jobs are polled within seconds, and one request for each would be far above what the
 * state service takes.
 */
class OpenRecordCheck(
    private val most: Int,
    private val scope: CoroutineScope,
    private val gather: suspend () -> Unit = { delay(GATHER_MS) },
    private val compare: suspend (Map<String, Long>) -> TransactionResult,
) {
    private class Question(
        val key: String,
        val stamp: Long,
        val answer: CompletableDeferred<RecordState>,
    )

    private val waiting = ArrayDeque<Question>()
    private var running = false

    /** Whether the record at [key] is still the one of revision [stamp]. Unknown at once where too many wait already. */
    suspend fun ask(
        key: String,
        stamp: Long,
    ): RecordState {
        if (waiting.size >= MOST_WAITING) return RecordState.UNKNOWN
        val question = Question(key, stamp, CompletableDeferred())
        waiting += question
        if (!running) {
            running = true
            scope.launch {
                gather()
                while (waiting.isNotEmpty()) answer(next())
                running = false
            }
        }
        return question.answer.await()
    }

    private fun next() = List(minOf(most, waiting.size)) { waiting.removeFirst() }

    /** Those that are named as failed are gone; whether the others hold is asked again, since all need not be named. */
    private suspend fun answer(questions: List<Question>) {
        var open = questions
        repeat(MOST_TRIES) {
            if (open.isEmpty()) return
            when (val outcome = compare(open.associate { it.key to it.stamp })) {
                is TransactionResult.Committed -> {
                    open.forEach { it.answer.complete(RecordState.OPEN) }
                    return
                }

                is TransactionResult.Conflict -> {
                    val failed = outcome.failedKeys.toHashSet()
                    val (gone, rest) = open.partition { it.key in failed }
                    gone.forEach { it.answer.complete(RecordState.GONE) }
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
        const val MOST_TRIES = 3
        const val MOST_WAITING = 1000
    }
}
