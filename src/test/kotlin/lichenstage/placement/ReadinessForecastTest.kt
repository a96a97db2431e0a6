package lichenstage.placement

import lichenstage.common.SECOND
import lichenstage.model.JobSpec
import lichenstage.model.MachineType
import lichenstage.model.Priority
import lichenstage.model.Resources
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

class ReadinessForecastTest {
    private val jobs = HashMap<String, Job>()
    private val forecast = ReadinessForecast(RunTimeEstimates(), { SECOND }) { jobs[it] }

    private fun job(
        number: Int,
        runS: Long,
        vararg dependencies: Int,
    ) = Job(
        oneCoreSpec(number, "c", Priority.LOW, 2, runS * SECOND).copy(dependencies = dependencies.map { "j-$it" }),
        number.toLong(),
        0,
    ).also {
        jobs[it.spec.id] = it
        if (it.isReady) it.enqueueTasks()
    }

    private fun readyInS(
        job: Job,
        nowS: Long = 0,
    ) = (forecast.Snapshot(nowS * SECOND).readyAtUs(job) - nowS * SECOND) / SECOND

    @Example
    fun `a job is ready at the end of the longest chain of its dependencies`() {
        job(1, 10)
        val thumbnails = job(2, 25, 1)
        job(3, 60, 1)
        val last = job(4, 8, 2, 3)
        assertEquals(1 + 10 + 4L, readyInS(thumbnails)) { "${readyInS(thumbnails)}" }
        assertEquals(15 + 1 + 60 + 4L, readyInS(last)) { "${readyInS(last)}" }
    }

    @Example
    fun `a running dependency counts from its start, and a finished dependency causes no delay`() {
        val first = job(1, 10)
        val next = job(2, 5, 1, 77)
        while (first.nextPendingTask() >= 0) first.lastPlacedAtUs = 20 * SECOND
        assertEquals(1 + 10 - 5 + 4L, readyInS(next, nowS = 25)) { "${readyInS(next, nowS = 25)}" }
        assertEquals(4L, readyInS(next, nowS = 99)) { "an overdue dependency is expected to end now" }
        first.phase = JobPhase.CLOSED
        assertEquals(0L, readyInS(next, nowS = 99)) { "${readyInS(next, nowS = 99)}" }
    }

    @Example
    fun `a chain of 20000 jobs is forecast without recursion`() {
        job(0, 1)
        repeat(20_000) { job(it + 1, 1, it) }
        assertTrue(readyInS(jobs.getValue("j-20000")) > 100_000) { "the chain was cut short" }
    }
}
