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

/** Guards against machines that are provisioned twice or without demand, and against the termination of machines in use. */
class FleetCoreTest {
    private val machineTypes =
        mapOf("t" to MachineType("t", Resources(16.0, 0.0, 64.0), 1.0, 0.4, 30 * SECOND, 50.0, 0.5, listOf("y", "z")))

    private fun fleet(forecast: DemandForecast = DemandForecast(0)) =
        FleetCore(3, FleetPolicy(), forecast, LIST_LAG_US).apply {
            onMachinesListed(emptyList(), 0)
            assertEquals(CloudCall.ListAll, nextCall(0))
        }

    private fun demand(maxMachines: Double) = listOf(Demand("t", true, maxMachines, maxMachines * 100 * SECOND, 60 * SECOND))

    private fun FleetCore.observeDemand(
        demand: List<Demand>,
        statusOf: (String) -> MachineStatus?,
        nowUs: Long,
    ) = observe(FleetObservation(machineTypes, demand, excludedMachines = emptySet(), statusOf), nowUs)

    private fun FleetCore.nextProvision(nowUs: Long): ProvisionRequest? = (nextCall(nowUs) as? CloudCall.Provision)?.request

    private fun status(
        taskCount: Int,
        isLost: Boolean = false,
    ) = MachineStatus(isUp = !isLost, isSilent = false, isLost = isLost, taskCount = taskCount, health = MachineHealth.SOUND)

    @Example
    fun `a request with an indeterminate outcome is repeated under its name, and no later request has this name`() {
        val fleet = fleet()
        fleet.observeDemand(demand(4.0), { null }, SECOND)
        val first = fleet.nextProvision(SECOND)!!
        fleet.onProvisionReply(first, ProvisionResult.Indeterminate, SECOND)
        assertEquals(first, fleet.nextProvision(2 * SECOND)) { "a different request was sent" }
        fleet.onProvisionReply(first, ProvisionResult.Provisioned(listOf("vm-1")), 2 * SECOND)
        val second = fleet.nextProvision(3 * SECOND)!!
        assertNotEquals(first.name, second.name) { "the name of the first request was reused" }
    }

    @Example
    fun `nothing is provisioned before the list of machines has been read once`() {
        val fleet = FleetCore(3, FleetPolicy(), DemandForecast(0), LIST_LAG_US)
        fleet.observeDemand(demand(4.0), { null }, SECOND)
        assertEquals(CloudCall.ListAll, fleet.nextCall(SECOND)) { "the first call does not read the list" }
        assertNull(fleet.nextCall(2 * SECOND)) { "provisioned before the list was read" }
    }

    @Example
    fun `spot machines are requested first, and on-demand ones once no zone has spot capacity`() {
        val fleet = fleet()
        fleet.observeDemand(demand(4.0), { null }, SECOND)
        val spotChoices = ArrayList<Boolean>()
        repeat(3) {
            val request = fleet.nextProvision(SECOND)!!
            spotChoices += request.isSpot
            fleet.onProvisionReply(request, ProvisionResult.NoCapacity, SECOND)
        }
        assertEquals(listOf(true, true, false), spotChoices) { "$spotChoices" }
    }

    /**
     * Guards against counting jobs that wait for dependencies twice. As waiting work, they were added to the forecast of their classes,
     * which already included them, and the cost rose by a tenth without any benefit.
     */
    @Example
    fun `jobs that wait for dependencies get machines, but none on top of those that the forecast expects`() {
        val blockedDemand = Demand("t", true, 4.0, 4.0 * 45 * SECOND, null, readyInUs = 45 * SECOND)
        val fleetWithoutForecast = fleet()
        fleetWithoutForecast.observeDemand(listOf(blockedDemand), { null }, SECOND)
        assertEquals(2, fleetWithoutForecast.nextProvision(SECOND)?.count) { "expected 2 of the 4 machines, as there are two zones" }
        val forecast = DemandForecast(0)
        val fleet = fleet(forecast)
        for (s in 1L..200L step 10) forecast.recordArrival(JobArrival("t", s * SECOND, 5.0, 20 * SECOND, isUrgent = false))
        repeat(14) { fleet.addMachine("m$it", "t", "z", true, 200 * SECOND) }
        fleet.observeDemand(listOf(blockedDemand), { status(1) }, 200 * SECOND)
        assertTrue(fleet.nextCall(202 * SECOND) !is CloudCall.Provision) { "provisioned machines on top of the 10 expected ones" }
    }

    @Example
    fun `jobs that may not run on spot machines get on-demand ones`() {
        val fleet = fleet()
        fleet.observeDemand(listOf(Demand("t", false, 4.0, 400.0 * SECOND, null)), { null }, SECOND)
        assertEquals(false, fleet.nextProvision(SECOND)?.isSpot) { "requested a spot machine" }
    }

    @Example
    fun `an idle machine and a machine that never came up are terminated, and a busy surplus machine is cordoned`() {
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
    fun `machines for recurring jobs are kept, and for urgent jobs also those that the variation needs`() {
        val forecast = DemandForecast(0)
        val fleet = fleet(forecast)
        repeat(40) { fleet.addMachine("m$it", "t", "z", false, 0) }

        fun recordArrival(
            nowUs: Long,
            isUrgent: Boolean,
        ) = forecast.recordArrival(JobArrival("t", nowUs, 5.0, 20 * SECOND, isUrgent))
        for (s in 1L..300L step 10) recordArrival(s * SECOND, isUrgent = false)
        val nonUrgentMachines = forecast.expectedMachines("t", 0.85, 300 * SECOND)
        assertTrue(nonUrgentMachines in 9.0..15.0) { "expected about 10 machines for 5 machines used 20 s every 10 s: $nonUrgentMachines" }
        for (s in 1L..300L step 10) recordArrival(300 * SECOND + s * SECOND, isUrgent = true)
        val machinesWithUrgent = forecast.expectedMachines("t", 0.85, 600 * SECOND)
        assertTrue(machinesWithUrgent in 14.0..20.0) { "expected 10 machines and about 7 for the standard deviation: $machinesWithUrgent" }
        for (s in 0L..50L step 10) fleet.observeDemand(emptyList(), { status(0) }, (600 + s) * SECOND)
        assertTrue(fleet.cordonedMachines().size in 8..30) { "${fleet.cordonedMachines()}" }
        assertEquals(0.0, forecast.expectedMachines("t", 0.85, 900 * SECOND)) { "machines are expected although arrivals have ceased" }
    }

    /**
     * Guards against the cost of leader changes: on days of upgrades, each new leader kept hundreds of idle machines for the 100 s in
     * which its forecast learns.
     */
    @Example
    fun `a new leader keeps the peak usage of its term plus a margin, and drains the other machines`() {
        val termStartUs = 100 * SECOND
        val fleet = fleet(DemandForecast(termStartUs))
        repeat(40) { fleet.addMachine("m$it", "t", "z", false, termStartUs - 100 * SECOND) }

        fun observe(
            afterS: Long,
            busyMachines: Double,
        ) = fleet.observeDemand(
            listOf(Demand("t", true, busyMachines, 0.0, null, busyMachines, 0.0)),
            { status(1) },
            termStartUs + afterS * SECOND,
        )
        observe(1, 20.0)
        observe(2, 8.0)
        assertTrue(fleet.cordonedMachines().isEmpty()) { "drained machines without the scale-in delay" }
        observe(40, 8.0)
        assertEquals(
            15,
            fleet.cordonedMachines().size,
        ) { "expected to keep 25 machines after a peak of 20: ${fleet.cordonedMachines().size} of 40 drain" }
    }

    @Example
    fun `a single silent machine is terminated, and five silent machines at once are kept`() {
        for (count in listOf(1, 5)) {
            val fleet = fleet()
            val names = List(count) { "m$it" }
            names.forEach { fleet.addMachine(it, "t", "z", false, 0) }
            fleet.observeDemand(
                demand(9.0),
                { MachineStatus(isUp = true, isSilent = true, isLost = false, taskCount = 1, health = MachineHealth.SOUND) },
                100 * SECOND,
            )
            assertEquals((count == 1), fleet.cordonedMachines().isNotEmpty()) { "$count silent: ${fleet.cordonedMachines()}" }
        }
    }
}
