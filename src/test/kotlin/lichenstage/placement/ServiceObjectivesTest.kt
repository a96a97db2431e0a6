package lichenstage.placement

import lichenstage.common.SECOND
import lichenstage.config.Objective
import lichenstage.config.ObjectiveKind
import lichenstage.config.Team
import lichenstage.model.Priority
import lichenstage.model.Resources
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue

class ServiceObjectivesTest {
    private val serviceObjectives =
        ServiceObjectives(
            listOf(
                Objective(ObjectiveKind.WAIT, "c", 15 * SECOND),
                Objective(ObjectiveKind.FINISHED, "c", 90 * SECOND),
            ),
        )

    private fun job(deadlineAfterUs: Long? = null) =
        Job(oneCoreSpec(1, "c", Priority.HIGH, 2).copy(deadlineAfterUs = deadlineAfterUs), 1, 0)

    @Example
    fun `an objective that can't be met any more is left out`() {
        val job = job()
        val start = StartObjective(15 * SECOND, isPerTask = true)
        val finish = StartObjective(89 * SECOND, isPerTask = false)
        assertEquals(listOf(start, finish), serviceObjectives.findAttainableObjectives(job, SECOND, 0))
        assertEquals(listOf(finish), serviceObjectives.findAttainableObjectives(job, SECOND, 20 * SECOND))
        assertTrue(serviceObjectives.findAttainableObjectives(job, SECOND, 100 * SECOND).isEmpty())
    }

    @Example
    fun `an objective that is missed by a quarter of the run time is due now`() {
        val start = serviceObjectives.findAttainableObjectives(job(), 8 * SECOND, 17 * SECOND).first()
        assertEquals(StartObjective(17 * SECOND, isPerTask = true), start)
        assertFalse(serviceObjectives.findAttainableObjectives(job(), 8 * SECOND, 17 * SECOND + 1).first().isPerTask, "missed by more")
    }

    @Example
    fun `a deadline counts from the submission, and class objectives count from the time at which the job is ready`() {
        val spec = oneCoreSpec(1, "c", Priority.HIGH, 2).copy(deadlineAfterUs = 60 * SECOND, dependencies = listOf("j-0"))
        val job = Job(spec, 1, 0).apply { markReady(40 * SECOND) }
        assertEquals(60 * SECOND, serviceObjectives.deadlineAtUs(job))
        assertEquals(
            listOf(55 * SECOND, 59 * SECOND, 129 * SECOND),
            serviceObjectives.findAttainableObjectives(job, SECOND, 40 * SECOND).map { it.startByUs },
        )
        assertNull(serviceObjectives.deadlineAtUs(job()))
    }

    @Example
    fun `a due time inherited from dependents is an objective`() {
        val objectives = serviceObjectives.findAttainableObjectives(job(), SECOND, 0, inheritedDueAtUs = 10 * SECOND)
        assertEquals(StartObjective(9 * SECOND, isPerTask = false), objectives.first())
    }

    @Example
    fun `a class has a start objective within a time only if the objective is shorter`() {
        assertTrue(serviceObjectives.hasStartObjectiveWithin("c", 15 * SECOND + 1))
        assertFalse(serviceObjectives.hasStartObjectiveWithin("c", 15 * SECOND))
        assertFalse(serviceObjectives.hasStartObjectiveWithin("other", Long.MAX_VALUE))
    }

    private fun fourCoreSpec(number: Int) = oneCoreSpec(number, "c", Priority.HIGH, 2).copy(resources = Resources(4.0, 0.0, 1.0))

    @Example
    fun `a guarantee applies to the earliest jobs that fit into it together`() {
        val objectives = ServiceObjectives(listOf(Objective(ObjectiveKind.GUARANTEE, null, 5 * SECOND)))
        val team = mapOf("red" to Team("red", 12.0, 99.0, 0.0, 9.0))
        val jobs = listOf(Job(fourCoreSpec(1), 1, 30), Job(fourCoreSpec(2), 2, 10), Job(fourCoreSpec(3), 3, 20))
        val guaranteedJobs = objectives.selectGuaranteedJobs(jobs, team).map { it.spec.id }
        assertEquals(listOf("j-2"), guaranteedJobs) { "j-2 uses 8 of 12 cores, j-3 would increase this to 16: $guaranteedJobs" }
        assertEquals(10 + 5 * SECOND, objectives.findAttainableObjectives(jobs[1], SECOND, 0, isGuaranteed = true).first().startByUs) {
            "the guarantee gives no objective"
        }
    }
}
