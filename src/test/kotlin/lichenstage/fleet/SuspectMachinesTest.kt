package lichenstage.fleet

import lichenstage.cloud.ProvisionResult
import lichenstage.common.SECOND
import lichenstage.model.MachineType
import lichenstage.model.Resources
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

/**
 * Guards against a faulty machine that counts as room for the job whose tasks fail on it, so that no other machine is rented, and against
 * machines that are rented without bound for a job that fails everywhere.
 */
class SuspectMachinesTest {
    private val machineTypes =
        mapOf("t" to MachineType("t", Resources(16.0, 0.0, 64.0), 1.0, 0.4, 30 * SECOND, 50.0, 0.5, listOf("y", "z")))
    private val fleet =
        FleetCore(3, FleetPolicy(), DemandForecast(0), LIST_LAG_US).apply {
            onMachinesListed(emptyList(), 0)
            assertEquals(CloudCall.ListAll, nextCall(0))
        }

    private fun status(
        health: MachineHealth,
        taskCount: Int = 0,
    ) = MachineStatus(isUp = true, isSilent = false, isLost = false, taskCount = taskCount, health = health)

    private fun observe(
        maxMachines: Double,
        nowUs: Long,
        zone: String? = null,
        statusOf: (String) -> MachineStatus?,
    ) {
        val demand = Demand("t", true, maxMachines, maxMachines * 100 * SECOND, nowUs + 60 * SECOND, zone = zone)
        fleet.observe(FleetObservation(machineTypes, listOf(demand), emptySet(), statusOf), nowUs)
    }

    @Example
    fun `an idle machine on which the tasks of a job failed is no room, and another one is rented, also for a job bound to its zone`() {
        for ((at, zone) in listOf(1L to null, 2L to "z")) {
            val nowUs = at * SECOND
            fleet.addMachine("m1", "t", "z", true, 0)
            observe(1.0, nowUs, zone) { status(MachineHealth.SOUND) }
            assertTrue(fleet.nextCall(nowUs) !is CloudCall.Provision) { "a machine was rented beside an idle one" }
            observe(1.0, nowUs, zone) { status(MachineHealth.SUSPECT) }
            val request = (fleet.nextCall(nowUs) as? CloudCall.Provision)?.request
            assertEquals(1, request?.count) { "no machine was rented beside the one that fails the tasks" }
            if (zone != null) assertEquals(zone, request?.zone)
            fleet.onProvisionReply(request!!, ProvisionResult.NoCapacity, nowUs)
        }
        assertEquals(emptySet<String>(), fleet.cordonedMachines()) { "a suspect machine was cordoned" }
    }

    @Example
    fun `a suspect machine that is busy counts as room`() {
        fleet.addMachine("m1", "t", "z", true, 0)
        observe(1.0, SECOND) { status(MachineHealth.SUSPECT, taskCount = 1) }
        assertTrue(fleet.nextCall(SECOND) !is CloudCall.Provision) { "a machine was rented although the suspect one is in use" }
    }

    /** Guards against a surplus machine that is kept, and charged, because it became suspect while it was drained. */
    @Example
    fun `a surplus machine that is draining when it becomes suspect is still terminated`() {
        listOf("a", "b").forEach { fleet.addMachine(it, "t", "z", false, 0) }
        observe(0.0, 100 * SECOND) { status(MachineHealth.SOUND, taskCount = 1) }
        observe(0.0, 160 * SECOND) { status(MachineHealth.SOUND, taskCount = 1) }
        assertEquals(setOf("a", "b"), fleet.cordonedMachines()) { "the surplus is not drained" }
        observe(0.0, 161 * SECOND) { status(MachineHealth.SUSPECT) }
        assertEquals(CloudCall.Terminate(listOf("a", "b")), fleet.nextCall(161 * SECOND))
    }

    @Example
    fun `at most three suspect machines, or one in fifty, are replaced at a time`() {
        for (i in 0 until 300) fleet.addMachine("m$i", "t", "z", true, 0)
        observe(300.0, SECOND) { status(MachineHealth.SUSPECT) }
        var rented = 0
        var nowUs = SECOND
        while (nowUs < 60 * SECOND) {
            nowUs += SECOND / 5
            observe(300.0, nowUs) { if (it.startsWith("m")) status(MachineHealth.SUSPECT) else status(MachineHealth.SOUND) }
            val request = (fleet.nextCall(nowUs) as? CloudCall.Provision)?.request ?: continue
            fleet.onProvisionReply(request, ProvisionResult.Provisioned(List(request.count) { "n${rented++}" }), nowUs)
        }
        assertEquals(6, rented)
    }

    @Example
    fun `a defective machine gets no more tasks, is replaced at once and is terminated when it is empty`() {
        fleet.addMachine("m1", "t", "z", true, 0)
        observe(1.0, SECOND) { status(MachineHealth.DEFECTIVE, taskCount = 1) }
        assertEquals(setOf("m1"), fleet.cordonedMachines())
        assertTrue(fleet.nextCall(SECOND) is CloudCall.Provision) { "the defective machine was not replaced, or terminated with its task" }
        observe(1.0, 2 * SECOND) { status(MachineHealth.SOUND, taskCount = 1) }
        assertEquals(emptySet<String>(), fleet.cordonedMachines()) { "the verdict was withdrawn, but the machine stays cordoned" }
        observe(1.0, 3 * SECOND) { status(MachineHealth.DEFECTIVE) }
        observe(1.0, 4 * SECOND) { status(MachineHealth.SOUND) }
        assertEquals(setOf("m1"), fleet.cordonedMachines()) { "the empty machine was not marked for termination" }
    }
}
