package lichenstage.fleet

import lichenstage.cloud.ListedMachine
import lichenstage.cloud.ListedStatus
import lichenstage.common.SECOND
import lichenstage.model.MachineType
import lichenstage.model.Resources
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

/** Guards against terminated machines that the lagging list of the cloud adds again, and against dead machines that are kept. */
class FleetInventoryTest {
    private val machineTypes =
        mapOf("t" to MachineType("t", Resources(16.0, 0.0, 64.0), 1.0, 0.4, 30 * SECOND, 50.0, 0.5, listOf("y", "z")))
    private val inventory = FleetInventory(LIST_LAG_US)

    private fun listed(
        name: String,
        status: ListedStatus = ListedStatus.RUNNING,
    ) = ListedMachine(name, "t", "z", true, status, 20 * SECOND)

    private fun status(health: MachineHealth = MachineHealth.SOUND) =
        MachineStatus(isUp = true, isSilent = false, isLost = false, taskCount = 1, health = health)

    @Example
    fun `a list that lags does not bring back a terminated machine`() {
        inventory.applyListing(listOf(listed("m1"), listed("m2")), 100 * SECOND, 100 * SECOND)
        inventory.remove(listOf("m1"))
        inventory.applyListing(listOf(listed("m1"), listed("m2")), 101 * SECOND, 101 * SECOND)
        assertEquals(1, inventory.allMachines.size)
    }

    @Example
    fun `a machine that is missing from the list is kept, and the first report of a machine determines its age`() {
        inventory.add("m1", "t", "z", true, 100 * SECOND)
        inventory.applyListing(listOf(listed("m1"), listed("m2")), 100 * SECOND, 100 * SECOND)
        inventory.applyListing(emptyList(), 104 * SECOND, 104 * SECOND)
        assertEquals(listOf(100 * SECOND, 80 * SECOND), inventory.allMachines.map { it.provisionedAtUs })
    }

    @Example
    fun `failed and faulty machines are terminated in the order of their addition and up to the limit`() {
        inventory.applyListing(listOf(listed("m1"), listed("m2", ListedStatus.FAILED), listed("m3"), listed("m4")), 0, 0)
        inventory.applyStatus({ status(if (it == "m3") MachineHealth.FAULTY else MachineHealth.SOUND) }, machineTypes, SECOND)
        inventory.terminate(listOf("m4", "unknown"))
        assertEquals(listOf("m2", "m3", "m4"), inventory.machinesToTerminate(10))
        assertEquals(listOf("m2", "m3"), inventory.machinesToTerminate(2))
        assertEquals(setOf("m2", "m3", "m4"), inventory.cordonedMachines())
    }

    @Example
    fun `a machine that never comes up is terminated after three boot times and ten seconds`() {
        inventory.add("m1", "t", "z", true, 0)
        inventory.applyStatus({ null }, machineTypes, 100 * SECOND)
        assertTrue(inventory.machinesToTerminate(10).isEmpty(), "terminated before the timeout")
        inventory.applyStatus({ null }, machineTypes, 100 * SECOND + 1)
        assertEquals(listOf("m1"), inventory.machinesToTerminate(10))
    }

    @Example
    fun `excluded and terminating machines do not serve the demand`() {
        inventory.applyListing(listOf(listed("m1"), listed("m2"), listed("m3")), 0, 0)
        inventory.terminate(listOf("m1"))
        assertEquals(2, inventory.servingMachines(emptySet()).size)
        assertEquals(1, inventory.servingMachines(setOf("m2")).size)
    }
}
