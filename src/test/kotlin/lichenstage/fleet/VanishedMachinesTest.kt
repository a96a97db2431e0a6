package lichenstage.fleet

import lichenstage.cloud.ListedMachine
import lichenstage.cloud.ListedStatus
import lichenstage.cloud.ProvisionResult
import lichenstage.common.SECOND
import lichenstage.model.MachineType
import lichenstage.model.Resources
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

/**
 * Guards against machines that are gone and count as serving for good: the owner of their partition has changed, and the new owner never
 * heard of them. No machine was rented in their place, so that accepted jobs did not run.
 */
class VanishedMachinesTest {
    private val machineTypes =
        mapOf("t" to MachineType("t", Resources(16.0, 0.0, 64.0), 1.0, 0.4, 30 * SECOND, 50.0, 0.5, listOf("y", "z")))
    private val fleet = FleetCore(3, FleetPolicy(), DemandForecast(0), LIST_LAG_US)
    private var nowUs = 0L

    private val up = MachineStatus(isUp = true, isSilent = false, isLost = false, taskCount = 1, health = MachineHealth.SOUND)

    private fun listed(
        name: String,
        ageUs: Long = 20 * SECOND,
        status: ListedStatus = ListedStatus.RUNNING,
    ) = ListedMachine(name, "t", "z", true, status, ageUs)

    private fun demand(
        maxMachines: Double = 1.0,
        zone: String? = "z",
    ) = Demand("t", true, maxMachines, maxMachines * 100 * SECOND, nowUs + 60 * SECOND, zone = zone)

    /** Lets the fleet request the list at [atUs], and answers with the machines named in [names]. */
    private fun list(
        atUs: Long,
        vararg names: String,
    ) {
        nowUs = atUs
        assertEquals(CloudCall.ListAll, fleet.nextCall(atUs)) { "the list was not requested at $atUs" }
        fleet.onMachinesListed(names.map { listed(it) }, atUs)
    }

    private fun observe(
        demand: List<Demand> = emptyList(),
        excludedMachines: Set<String> = emptySet(),
        statusOf: (String) -> MachineStatus?,
    ) = fleet.observe(FleetObservation(machineTypes, demand, excludedMachines, statusOf), nowUs)

    @Example
    fun `a machine that is gone before its partition changes owner is replaced, also for a job that is bound to no zone`() {
        for (zone in listOf("z", null)) {
            val fleet = VanishedMachinesTest()
            fleet.list(0, "m1")
            fleet.observe(listOf(fleet.demand(zone = zone))) { fleet.up }
            assertTrue(fleet.fleet.nextCall(SECOND) !is CloudCall.Provision) { "a machine was rented beside the one that is up" }
            fleet.list(20 * SECOND)
            fleet.observe(listOf(fleet.demand(zone = zone))) { null }
            assertEquals(CloudCall.Terminate(listOf("m1")), fleet.fleet.nextCall(21 * SECOND)) { "the machine that is gone was kept" }
            assertTrue(fleet.fleet.nextCall(21 * SECOND + SECOND / 2) is CloudCall.Provision) { "no machine was rented in its place" }
        }
    }

    @Example
    fun `a machine that an earlier leader recorded, a drained one and one that never came up are found to be gone within the lag`() {
        fleet.addMachine("recorded", "t", "z", false, 0)
        fleet.addMachine("drained", "t", "z", false, 0)
        fleet.addMachine("booting", "t", "z", true, 0)
        list(2 * LIST_LAG_US + 2 * SECOND)
        observe(excludedMachines = setOf("drained")) { null }
        assertEquals(emptySet<String>(), fleet.cordonedMachines()) { "the list may be older than the machines" }
        list(2 * LIST_LAG_US + 7 * SECOND)
        observe(excludedMachines = setOf("drained")) { null }
        assertEquals(setOf("recorded", "drained", "booting"), fleet.cordonedMachines())
    }

    @Example
    fun `a machine that its owner reports is kept although a list lacks it, until its reports stop`() {
        list(0, "m1")
        list(20 * SECOND)
        observe { up }
        assertEquals(emptySet<String>(), fleet.cordonedMachines()) { "a machine that sends heartbeats was given up" }
        observe { up.copy(isSilent = true) }
        assertEquals(setOf("m1"), fleet.cordonedMachines()) { "the machine is neither listed nor heard of" }
    }

    @Example
    fun `a zone that is merely cut off keeps its machines, and none is rented in their place`() {
        val names = List(300) { "m$it" }
        list(0, *names.toTypedArray())
        observe(listOf(demand(300.0))) { up }
        list(20 * SECOND, *names.toTypedArray())
        for (status in listOf(null, up.copy(isSilent = true))) {
            observe(listOf(demand(300.0))) { status }
            assertEquals(emptySet<String>(), fleet.cordonedMachines()) { "listed machines were given up" }
            assertTrue(fleet.nextCall(21 * SECOND) !is CloudCall.Provision) { "machines were rented for a zone that is cut off" }
        }
    }

    @Example
    fun `an older list that still has the machine, and then a newer one, do not keep it`() {
        list(0, "m1")
        list(20 * SECOND)
        list(25 * SECOND, "m1")
        observe { null }
        assertEquals(emptySet<String>(), fleet.cordonedMachines())
        list(30 * SECOND)
        observe { null }
        assertEquals(setOf("m1"), fleet.cordonedMachines())
    }

    /** Guards against a wave of machines taken without notice, whose termination calls are refused for a while. */
    @Example
    fun `hundreds of vanished machines are replaced while their terminations are refused, and then all terminated`() {
        VanishedMachinesTest().loseMachines(machines = 300, lost = 300)
        VanishedMachinesTest().loseMachines(machines = 6_000, lost = 2_000)
    }

    private fun loseMachines(
        machines: Int,
        lost: Int,
    ) {
        val names = List(machines) { "m$it" }
        val lostNames = names.take(lost).toSet()
        val remainingNames = names.drop(lost)
        list(0, *names.toTypedArray())
        observe(listOf(demand(machines.toDouble(), zone = null))) { up }
        list(20 * SECOND, *remainingNames.toTypedArray())
        val terminated = HashSet<String>()
        var provisioned = 0
        var refused = 0
        while (nowUs < 120 * SECOND && (terminated.size < lost || provisioned < lost)) {
            nowUs += SECOND / 5
            observe(listOf(demand(machines.toDouble(), zone = null))) { if (it in lostNames) null else up }
            when (val call = fleet.nextCall(nowUs)) {
                is CloudCall.Terminate -> {
                    if (nowUs < 30 * SECOND) {
                        refused++
                    } else {
                        terminated += call.machines
                        fleet.onMachinesTerminated(call.machines)
                    }
                }

                is CloudCall.Provision -> {
                    val rented = List(call.request.count) { "n${provisioned++}" }
                    fleet.onProvisionReply(call.request, ProvisionResult.Provisioned(rented), nowUs)
                }

                CloudCall.ListAll -> {
                    fleet.onMachinesListed((remainingNames + List(provisioned) { "n$it" }).map { listed(it, 0) }, nowUs)
                }

                null -> {
                    Unit
                }
            }
        }
        assertTrue(refused > 0) { "no termination was refused" }
        assertEquals(lostNames, terminated) { "${terminated.size} of $lost machines were terminated" }
        assertEquals(lost, provisioned) { "$provisioned machines were rented in place of $lost" }
    }
}
