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

/** Thousands of polls are answered by few requests, each as the state service has it. */
class OpenRecordCheckTest {
    private var requests = 0

    /** Asks about jobs 0 until [count]; those in [deleted] are over. The service names [maxNamedKeys] of the failed keys. */
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
    fun `a thousand polls take a few requests`() {
        val states = check(1000, emptySet(), 0)
        assertTrue(states.all { it == RecordState.OPEN }) { "not all open" }
        assertTrue(requests <= 8) { "$requests requests" }
    }

    @Example
    fun `more than can wait are turned away at once`() {
        assertEquals(500, check(1500, emptySet(), 0).count { it == RecordState.UNKNOWN }) { "held back" }
    }

    @Property(tries = 100, seed = "2212")
    fun `nothing that is over is called open, whether or not all failed keys are named`(
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
