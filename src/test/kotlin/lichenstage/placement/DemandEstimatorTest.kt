package lichenstage.placement

import lichenstage.common.SECOND
import lichenstage.model.JobSpec
import lichenstage.model.MachineType
import lichenstage.model.Priority
import lichenstage.model.Resources
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue

class DemandEstimatorTest {
    private val machineType = MachineType("t", Resources(16.0, 0.0, 64.0), 1.0, 0.4, 30 * SECOND, 50.0, 0.5, listOf("z"))
    private val machineTypes = mapOf("t" to machineType)

    private fun job(
        number: Int,
        tasks: Int = 2,
        dependencies: List<String> = emptyList(),
    ) = Job(oneCoreSpec(number, "c", Priority.LOW, tasks, 50 * SECOND).copy(dependencies = dependencies), number.toLong(), 0).apply {
        if (isReady) enqueueTasks()
    }

    private fun inputs(
        readyInS: Long = 0,
        coreLimit: Double = Double.MAX_VALUE,
        dueAtUs: Long? = null,
    ) = object : DemandEstimator.Inputs {
        override fun coreLimit(team: String) = coreLimit

        override fun runUs(spec: JobSpec) = spec.estimatedRunTimeUs

        override fun dueAtUs(job: Job): Long? = dueAtUs

        override fun readyInUs(job: Job) = readyInS * SECOND
    }

    /**
     * Guards against two faults. If a blocked job counted as work that is due now, machines would be provisioned too early. If it counted
     * only once it is ready, they would boot too late.
     */
    @Example
    fun `a blocked job demands machines from one and a half boot times before it is ready`() {
        val blockedJob = job(2, dependencies = listOf("j-1"))

        fun demandWhenReadyIn(readyInS: Long) = DemandEstimator.estimateDemand(listOf(blockedJob), machineTypes, inputs(readyInS))
        assertTrue(demandWhenReadyIn(60).isEmpty()) { "demands machines a minute before it is ready" }
        val demand = demandWhenReadyIn(40).single()
        assertTrue(demand.busyMachines == 0.0 && demand.readyInUs == 45 * SECOND && demand.dueAtUs == null) { "$demand" }
    }

    @Example
    fun `demand includes the run time and the fetch time of all remaining tasks per machine`() {
        val demand = DemandEstimator.estimateDemand(listOf(job(1, tasks = 32)), machineTypes, inputs(dueAtUs = 99)).single()
        assertEquals(2.0, demand.maxMachines)
        assertEquals(2.0 * 52 * SECOND, demand.workUs, "50 s of run and 2 s of fetch for 16 tasks on each machine")
        assertEquals(demand.workUs, demand.waitingWorkUs)
        assertEquals(99L, demand.dueAtUs)
        assertEquals(0L, demand.readyInUs)
    }

    @Example
    fun `jobs of a team share its limit, and a job for which nothing of the limit is left has no demand`() {
        val jobs = listOf(job(1, tasks = 16), job(2, tasks = 16), job(3, tasks = 16))
        val demand = DemandEstimator.estimateDemand(jobs, machineTypes, inputs(coreLimit = 24.0))
        assertEquals(listOf(1.0, 0.5), demand.map { it.maxMachines })
    }

    @Example
    fun `an arrival covers the whole job, and a job without a compatible machine type has no arrival`() {
        val arrival = DemandEstimator.estimateArrival(job(1, tasks = 32), machineTypes, 50 * SECOND) { it.bootUs > 20 * SECOND }!!
        assertEquals(2.0, arrival.machines)
        assertEquals(52 * SECOND, arrival.runUs)
        assertTrue(arrival.isUrgent)
        assertNull(DemandEstimator.estimateArrival(job(1), emptyMap(), 50 * SECOND) { false })
    }

    /** Guards against jobs without machines because others of their team wait for a zone in which none can be provisioned. */
    @Example
    fun `waiting jobs that are bound to a zone leave the limit of their team to its other jobs`() {
        fun zoneBoundJob(number: Int) = Job(oneCoreSpec(number, "c", Priority.LOW, 16).copy(zone = "z"), 1, 0).apply { enqueueTasks() }
        val jobs = listOf(zoneBoundJob(1), zoneBoundJob(2), job(3, tasks = 16), job(4, tasks = 16))
        val demand = DemandEstimator.estimateDemand(jobs, machineTypes, inputs(coreLimit = 24.0))
        assertEquals(listOf("z" to 1.0, "z" to 0.5, null to 1.0, null to 0.5), demand.map { it.zone to it.maxMachines })
    }
}
