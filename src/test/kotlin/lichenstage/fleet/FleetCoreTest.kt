package lichenstage.fleet

import lichenstage.cloud.ProvisionRequest
import lichenstage.cloud.ProvisionResult
import lichenstage.common.SECOND
import lichenstage.model.MachineType
import lichenstage.model.Resources
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue

class FleetCoreTest {
    private val machineTypes =
        mapOf("t" to MachineType("t", Resources(16.0, 0.0, 64.0), 1.0, 0.4, 30 * SECOND, 50.0, 0.5, listOf("y", "z")))

    private fun fleet(forecast: DemandForecast = DemandForecast(0)) =
        FleetCore(3, FleetPolicy(), forecast).apply {
            onMachinesListed(emptyList(), 0)
            assertEquals(CloudCall.ListAll, nextCall(0))
        }

    private fun demand(machines: Double) = listOf(Demand("t", true, machines, machines * 100 * SECOND, 60 * SECOND))

    private fun FleetCore.observeDemand(
        demand: List<Demand>,
        statusOf: (String) -> MachineStatus?,
        nowUs: Long,
    ) = observe(FleetObservation(machineTypes, demand, excludedMachines = emptySet(), statusOf), nowUs)

    private fun FleetCore.nextProvision(nowUs: Long): ProvisionRequest? = (nextCall(nowUs) as? CloudCall.Provision)?.request

    private fun status(
        tasks: Int,
        lost: Boolean = false,
    ) = MachineStatus(isUp = !lost, isSilent = false, isLost = lost, taskCount = tasks, isFaulty = false)

    @Example
    fun `a request with an indeterminate outcome is repeated under its name, and its name is never used again`() {
        val fleet = fleet()
        fleet.observeDemand(demand(4.0), { null }, SECOND)
        val first = fleet.nextProvision(SECOND)!!
        fleet.onProvisionReply(first, ProvisionResult.Indeterminate, SECOND)
        assertEquals(first, fleet.nextProvision(2 * SECOND)) { "another request was made" }
        fleet.onProvisionReply(first, ProvisionResult.Provisioned(listOf("vm-1")), 2 * SECOND)
        val second = fleet.nextProvision(3 * SECOND)!!
        assertNotEquals(first.name, second.name) { "the name was used again" }
    }

    @Example
    fun `nothing is provisioned before the list was read once`() {
        val fleet = FleetCore(3, FleetPolicy(), DemandForecast(0))
        fleet.observeDemand(demand(4.0), { null }, SECOND)
        assertEquals(CloudCall.ListAll, fleet.nextCall(SECOND)) { "the list comes first" }
        assertNull(fleet.nextCall(2 * SECOND)) { "provisioned without knowing what there is" }
    }

    @Example
    fun `spot instances come first, on-demand ones where no spot capacity is left`() {
        val fleet = fleet()
        fleet.observeDemand(demand(4.0), { null }, SECOND)
        val spotChoices = ArrayList<Boolean>()
        repeat(3) {
            val request = fleet.nextProvision(SECOND)!!
            spotChoices += request.spot
            fleet.onProvisionReply(request, ProvisionResult.NoCapacity, SECOND)
        }
        assertEquals(listOf(true, true, false), spotChoices) { "$spotChoices" }
    }

    /** As work that waits now they were counted beside what is expected of their classes, and a tenth more was paid for nothing. */
    @Example
    fun `machines are provisioned for jobs that wait for dependencies, but not beside what is expected anyway`() {
        val foreseen = Demand("t", true, 4.0, 4.0 * 45 * SECOND, null, readyInUs = 45 * SECOND)
        val idle = fleet()
        idle.observeDemand(listOf(foreseen), { null }, SECOND)
        assertEquals(2, idle.nextProvision(SECOND)?.count) { "4 machines are 2 in each of two zones" }
        val forecast = DemandForecast(0)
        val fleet = fleet(forecast)
        for (s in 1L..200L step 10) forecast.recordArrival(JobArrival("t", s * SECOND, 5.0, 20 * SECOND, isUrgent = false))
        repeat(14) { fleet.addMachine("m$it", "t", "z", true, 200 * SECOND) }
        fleet.observeDemand(listOf(foreseen), { status(1) }, 200 * SECOND)
        assertTrue(fleet.nextCall(202 * SECOND) !is CloudCall.Provision) { "provisioned beside the 10 that are expected" }
    }

    @Example
    fun `jobs that may not run on spot instances get on-demand ones`() {
        val fleet = fleet()
        fleet.observeDemand(listOf(Demand("t", false, 4.0, 400.0 * SECOND, null)), { null }, SECOND)
        assertEquals(false, fleet.nextProvision(SECOND)?.spot) { "provisioned a spot instance" }
    }

    @Example
    fun `a machine without work is drained and terminated, and one that never came up is terminated`() {
        val fleet = fleet()
        listOf("a", "b", "c").forEach { fleet.addMachine(it, "t", "z", false, 0) }
        var nowUs = 100 * SECOND

        fun observe() = fleet.observeDemand(emptyList(), { name -> if (name == "c") null else status(if (name == "a") 1 else 0) }, nowUs)
        observe()
        nowUs += 60 * SECOND
        observe()
        observe()
        assertEquals(setOf("a", "b", "c"), fleet.cordonedMachines()) { "${fleet.cordonedMachines()}" }
        assertEquals(CloudCall.Terminate(listOf("b", "c")), fleet.nextCall(nowUs)) { "${fleet.nextCall(nowUs)}" }
    }

    @Example
    fun `machines for the jobs that keep coming stay, those of urgent classes with what their variation needs`() {
        val forecast = DemandForecast(0)
        val fleet = fleet(forecast)
        repeat(40) { fleet.addMachine("m$it", "t", "z", false, 0) }

        fun recordArrival(
            nowUs: Long,
            urgent: Boolean,
        ) = forecast.recordArrival(JobArrival("t", nowUs, 5.0, 20 * SECOND, urgent))
        for (s in 1L..300L step 10) recordArrival(s * SECOND, urgent = false)
        val nonUrgentMachines = forecast.expectedMachines("t", 0.85, 300 * SECOND)
        assertTrue(nonUrgentMachines in 9.0..15.0) { "5 machines for 20 s every 10 s are 10 on average: $nonUrgentMachines" }
        for (s in 1L..300L step 10) recordArrival(300 * SECOND + s * SECOND, urgent = true)
        val machinesWithUrgent = forecast.expectedMachines("t", 0.85, 600 * SECOND)
        assertTrue(machinesWithUrgent in 14.0..20.0) { "and 7 is their spread: $machinesWithUrgent" }
        for (s in 0L..50L step 10) fleet.observeDemand(emptyList(), { status(0) }, (600 + s) * SECOND)
        assertTrue(fleet.cordonedMachines().size in 8..30) { "${fleet.cordonedMachines()}" }
        assertEquals(0.0, forecast.expectedMachines("t", 0.85, 900 * SECOND)) { "nothing comes any more" }
    }

    /** On the upgrade days each new leader kept hundreds of idle machines for the 100 s in which its forecast learns. */
    @Example
    fun `a new leader keeps what has been in use with room to spare, and not all that there is`() {
        val termStartUs = 100 * SECOND
        val fleet = fleet(DemandForecast(termStartUs))
        repeat(40) { fleet.addMachine("m$it", "t", "z", false, termStartUs - 100 * SECOND) }

        fun observe(
            afterS: Long,
            busy: Double,
        ) = fleet.observeDemand(listOf(Demand("t", true, busy, 0.0, null, busy, 0.0)), { status(1) }, termStartUs + afterS * SECOND)
        observe(1, 20.0)
        observe(2, 8.0)
        assertTrue(fleet.cordonedMachines().isEmpty()) { "drained at once" }
        observe(40, 8.0)
        assertEquals(
            15,
            fleet.cordonedMachines().size,
        ) { "20 were in use, 25 are to be kept: ${fleet.cordonedMachines().size} of 40 drain" }
    }

    @Example
    fun `a silent machine is replaced, many silent ones are not`() {
        for (count in listOf(1, 5)) {
            val fleet = fleet()
            val names = List(count) { "m$it" }
            names.forEach { fleet.addMachine(it, "t", "z", false, 0) }
            fleet.observeDemand(
                demand(9.0),
                { MachineStatus(isUp = true, isSilent = true, isLost = false, taskCount = 1, isFaulty = false) },
                100 * SECOND,
            )
            assertEquals((count == 1), fleet.cordonedMachines().isNotEmpty()) { "$count silent: ${fleet.cordonedMachines()}" }
        }
    }
}
