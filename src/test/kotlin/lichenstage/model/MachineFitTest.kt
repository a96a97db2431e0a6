package lichenstage.model

import lichenstage.common.SECOND
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull

/** Guards against jobs that count as runnable on machine types that are not allowed, too small or in another zone. */
class MachineFitTest {
    private val small = machineType("small", cores = 4.0, price = 1.0, fetchGbPerS = 1.0, zones = listOf("y"))
    private val large = machineType("large", cores = 16.0, price = 2.0, fetchGbPerS = 0.5, zones = listOf("y", "z"))
    private val machineTypes = listOf(small, large).associateBy { it.name }

    private fun machineType(
        name: String,
        cores: Double,
        price: Double,
        fetchGbPerS: Double,
        zones: List<String>,
    ) = MachineType(name, Resources(cores, 0.0, 64.0), price, price / 2, 30 * SECOND, 50.0, fetchGbPerS, zones)

    private fun spec(
        cores: Double,
        allowedTypes: List<String>? = null,
        zone: String? = null,
    ) = JobSpec(
        id = "j-1",
        jobClass = "c",
        team = "red",
        priority = Priority.HIGH,
        taskCount = 2,
        resources = Resources(cores, 0.0, 1.0),
        allowedTypes = allowedTypes,
        zone = zone,
        requiresSameZone = false,
        requiresSpread = false,
        allowsSpot = true,
        image = "i",
        imageGb = 2.0,
        estimatedRunTimeUs = SECOND,
        checkpointIntervalUs = 0,
        checkpointSaveUs = 0,
        deadlineAfterUs = null,
        submittedAtUs = 0,
    )

    @Example
    fun `a type is compatible if the job allows it, its zone has it and a task fits on it`() {
        assertEquals(listOf(small, large), MachineFit.compatibleTypes(spec(4.0), machineTypes))
        assertEquals(listOf(large), MachineFit.compatibleTypes(spec(5.0), machineTypes), "too small")
        assertEquals(listOf(small), MachineFit.compatibleTypes(spec(1.0, allowedTypes = listOf("small")), machineTypes), "not allowed")
        assertEquals(listOf(large), MachineFit.compatibleTypes(spec(1.0, zone = "z"), machineTypes), "not in the zone")
    }

    @Example
    fun `the cheapest type has the lowest price per task, not per machine`() {
        assertEquals(large, MachineFit.cheapestType(spec(2.0), machineTypes), "2 tasks for 1.0 compared with 8 tasks for 2.0")
        assertEquals(small, MachineFit.cheapestType(spec(2.0, allowedTypes = listOf("small")), machineTypes))
        assertNull(MachineFit.cheapestType(spec(17.0), machineTypes), "the task fits on no type")
    }

    @Example
    fun `the fetch time is that of the slowest compatible type, or 0 if no type is compatible`() {
        assertEquals(4 * SECOND, MachineFit.maxFetchUs(spec(1.0), machineTypes))
        assertEquals(2 * SECOND, MachineFit.maxFetchUs(spec(1.0, allowedTypes = listOf("small")), machineTypes))
        assertEquals(0L, MachineFit.maxFetchUs(spec(17.0), machineTypes))
    }
}
