package lichenstage.placement

import lichenstage.common.SECOND
import lichenstage.model.Priority
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

class RunTimeEstimatesTest {
    private val times = RunTimeEstimates()

    private fun spec(
        tasks: Int = 1,
        jobClass: String = "c",
    ) = oneCoreSpec(1, jobClass, Priority.HIGH, tasks, estimatedRunTimeUs = 10 * SECOND)

    @Example
    fun `run times are learned by class and fade in from the estimate`() {
        assertEquals(10 * SECOND, times.expectedUs(spec())) { "${times.expectedUs(spec())}" }
        repeat(20) { times.recordCompletion(spec(), 20 * SECOND) }
        assertTrue(times.expectedUs(spec()) in 16 * SECOND..20 * SECOND) { "${times.expectedUs(spec())}" }
        assertEquals(10 * SECOND, times.expectedUs(spec(jobClass = "other")), "learned from another class")
    }

    @Example
    fun `a task of a large job counts less than one of a small job`() {
        times.recordCompletion(spec(tasks = 100), 20 * SECOND)
        assertTrue(times.expectedUs(spec()) < 10_100_000) { "${times.expectedUs(spec())}" }
        times.recordCompletion(spec(), 20 * SECOND)
        assertTrue(times.expectedUs(spec()) > 11 * SECOND) { "${times.expectedUs(spec())}" }
    }

    @Example
    fun `a single absurd run time is bounded`() {
        times.recordCompletion(spec(), 10_000_000 * SECOND)
        assertTrue(times.expectedUs(spec()) < 15 * SECOND) { "${times.expectedUs(spec())}" }
        times.recordCompletion(spec(), 0)
        assertTrue(times.expectedUs(spec()) > 14 * SECOND) { "a run time of 0 says nothing" }
    }
}
