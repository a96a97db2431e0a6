package lichenstage.fleet

import lichenstage.cloud.ProvisionRequest
import lichenstage.cloud.ProvisionResult
import lichenstage.common.SECOND
import lichenstage.model.MachineType
import lichenstage.model.Resources
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue

/** Guards against jobs that wait for good because machines which they may not use are counted as machines for them. */
class RestrictedDemandTest {
    private val zones = listOf("x", "y", "z")
    private val machineTypes = mapOf("t" to MachineType("t", Resources(16.0, 0.0, 64.0), 1.0, 0.4, 30 * SECOND, 50.0, 0.5, zones))
    private val fleet = FleetCore(3, FleetPolicy(), DemandForecast(0), LIST_LAG_US).apply { onMachinesListed(emptyList(), 0) }
    private val idle = MachineStatus(isUp = true, isSilent = false, isLost = false, taskCount = 0, health = MachineHealth.SOUND)

    private fun demand(
        machines: Double,
        zone: String? = null,
        allowsSpot: Boolean = true,
    ) = Demand("t", allowsSpot, machines, machines * 50 * SECOND, null, zone = zone)

    private fun observe(
        nowS: Long,
        vararg demand: Demand,
    ) = fleet.observe(FleetObservation(machineTypes, demand.toList(), excludedMachines = emptySet()) { idle }, nowS * SECOND)

    private fun nextProvision(nowS: Long): ProvisionRequest? =
        List(3) { fleet.nextCall(nowS * SECOND) }.firstNotNullOfOrNull { (it as? CloudCall.Provision)?.request }

    private fun addMachines(
        count: Int,
        zone: String,
        isSpot: Boolean = true,
        first: Int = 0,
    ) = repeat(count) { fleet.addMachine("$zone-${first + it}", "t", zone, isSpot, 0) }

    @Example
    fun `a job bound to a zone without machines gets one there, however many are idle in other zones`() {
        addMachines(8, "x")
        addMachines(7, "y")
        observe(5, demand(1.0, zone = "z"))
        val request = nextProvision(5)
        assertEquals("z" to true, request?.zone to request?.isSpot) { "$request" }
        fleet.onProvisionReply(request!!, ProvisionResult.Provisioned(listOf("z-0")), 5 * SECOND)
        observe(6, demand(1.0, zone = "z"))
        assertNull(nextProvision(6)) { "provisioned a second machine" }
    }

    @Example
    fun `a job that may not use spot machines gets an on-demand one beside idle spot machines`() {
        addMachines(9, "x")
        observe(5, demand(0.5, allowsSpot = false), demand(2.0))
        assertEquals(false, nextProvision(5)?.isSpot)
    }

    @Example
    fun `a job that is bound to a zone and may not use spot machines gets an on-demand machine in its zone`() {
        addMachines(3, "z")
        addMachines(3, "x", isSpot = false)
        observe(5, demand(0.5, zone = "z", allowsSpot = false), demand(2.0))
        val request = nextProvision(5)
        assertEquals("z" to false, request?.zone to request?.isSpot) { "$request" }
    }

    @Example
    fun `a zone without capacity holds up neither its on-demand machines nor the machines for other jobs`() {
        addMachines(1, "x")
        val demand = arrayOf(demand(1.0, zone = "z"), demand(40.0))
        observe(5, *demand)
        val choices =
            List(3) {
                val request = nextProvision(5)!!
                fleet.onProvisionReply(request, ProvisionResult.NoCapacity, 5 * SECOND)
                request.zone to request.isSpot
            }
        assertEquals(listOf("z" to true, "z" to false), choices.take(2))
        assertTrue(choices.last().first != "z") { "$choices" }
    }

    @Example
    fun `surplus machines are drained, but not those that bound jobs or jobs without spot machines need`() {
        addMachines(6, "x")
        addMachines(1, "y", isSpot = false)
        addMachines(1, "z")
        val demand = arrayOf(demand(0.5, zone = "z"), demand(0.5, allowsSpot = false))
        for (nowS in 100L..200L step 10) observe(nowS, *demand)
        val cordoned = fleet.cordonedMachines()
        assertTrue("z-0" !in cordoned && "y-0" !in cordoned) { "$cordoned" }
        assertEquals(6, cordoned.size) { "the surplus is kept" }
    }

    @Example
    fun `an on-demand machine that jobs need is not swapped for a spot machine`() {
        addMachines(1, "y", isSpot = false)
        observe(5, demand(0.5, allowsSpot = false), demand(0.2))
        assertNull(nextProvision(5))
        addMachines(1, "x", isSpot = false)
        observe(6, demand(0.5, allowsSpot = false), demand(0.2))
        assertEquals(true, nextProvision(6)?.isSpot) { "the machine that is not needed is not swapped" }
    }
}
