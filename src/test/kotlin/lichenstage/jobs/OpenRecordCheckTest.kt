package lichenstage.jobs

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.yield
import lichenstage.state.TransactionResult
import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

/** Guards against one request to the state service per poll: a few requests must check thousands of polls, with correct results. */
class OpenRecordCheckTest {
    private var requests = 0

    /**
     * Checks the jobs with numbers below [count], of which those in [deleted] have ended. The state service names at most [maxNamedKeys] of
     * the failed keys.
     */
    private fun check(
        count: Int,
        deleted: Set<Int>,
        maxNamedKeys: Int,
    ): List<RecordState> =
        runBlocking {
            val check =
                OpenRecordCheck(192, this, waitForBatch = { yield() }) { preconditions ->
                    requests++
                    val failed = preconditions.keys.filter { it.removePrefix("j/").toInt() in deleted }
                    if (failed.isEmpty()) TransactionResult.Committed(1) else TransactionResult.Conflict(failed.take(maxNamedKeys))
                }
            List(count) { async { check.check("j/$it", 7) } }.awaitAll()
        }

    @Example
    fun `a thousand polls are checked by at most eight requests`() {
        val states = check(1000, emptySet(), 0)
        assertTrue(states.all { it == RecordState.OPEN }) { "not all open" }
        assertTrue(requests <= 8) { "$requests requests" }
    }

    @Example
    fun `checks above the limit of pending checks return unknown at once`() {
        assertEquals(500, check(1500, emptySet(), 0).count { it == RecordState.UNKNOWN }) { "500 of 1500 checks must be refused" }
    }

    @Property(tries = 100, seed = "2212")
    fun `a deleted record never counts as open even if only some failed keys are named`(
        @ForAll drawnNumbers: Set<Int>,
        @ForAll areAllNamed: Boolean,
    ) {
        val deleted = drawnNumbers.map { Math.floorMod(it, 60) }.toSet()
        val states = check(60, deleted, if (areAllNamed) 60 else 1)
        states.forEachIndexed { i, state ->
            assertTrue((state == RecordState.OPEN) <= (i !in deleted)) { "$i of $deleted: $state" }
            if (areAllNamed) assertTrue(state == if (i in deleted) RecordState.DELETED else RecordState.OPEN) { "$i of $deleted: $state" }
        }
    }
}
