package lichenstage.placement

import lichenstage.common.SECOND
import lichenstage.model.Priority
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

class RunTimeEstimatesTest {
    private val estimates = RunTimeEstimates()

    private fun spec(
        tasks: Int = 1,
        jobClass: String = "c",
    ) = oneCoreSpec(1, jobClass, Priority.HIGH, tasks, estimatedRunTimeUs = 10 * SECOND)

    @Example
    fun `run times are learned per class and move gradually away from the user's estimate`() {
        assertEquals(10 * SECOND, estimates.expectedRunTimeUs(spec())) { "${estimates.expectedRunTimeUs(spec())}" }
        repeat(20) { estimates.recordCompletion(spec(), 20 * SECOND) }
        assertTrue(estimates.expectedRunTimeUs(spec()) in 16 * SECOND..20 * SECOND) { "${estimates.expectedRunTimeUs(spec())}" }
        assertEquals(10 * SECOND, estimates.expectedRunTimeUs(spec(jobClass = "other")), "learned from another class")
    }

    @Example
    fun `a task of a large job counts less than one of a small job`() {
        estimates.recordCompletion(spec(tasks = 100), 20 * SECOND)
        assertTrue(estimates.expectedRunTimeUs(spec()) < 10_100_000) { "${estimates.expectedRunTimeUs(spec())}" }
        estimates.recordCompletion(spec(), 20 * SECOND)
        assertTrue(estimates.expectedRunTimeUs(spec()) > 11 * SECOND) { "${estimates.expectedRunTimeUs(spec())}" }
    }

    @Example
    fun `the effect of a single extreme run time is limited`() {
        estimates.recordCompletion(spec(), 10_000_000 * SECOND)
        assertTrue(estimates.expectedRunTimeUs(spec()) < 15 * SECOND) { "${estimates.expectedRunTimeUs(spec())}" }
        estimates.recordCompletion(spec(), 0)
        assertTrue(estimates.expectedRunTimeUs(spec()) > 14 * SECOND) { "a run time of 0 must be ignored" }
    }
}
