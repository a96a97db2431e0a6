package lichenstage.fleet

import lichenstage.common.SECOND
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue

class DemandForecastTest {
    private val forecast = DemandForecast(startedAtUs = 0)

    private fun arrive(
        atS: Long,
        urgent: Boolean = false,
    ) = forecast.recordArrival(JobArrival("t", atS * SECOND, machines = 5.0, runUs = 20 * SECOND, urgent))

    @Example
    fun `a type that no job has asked for is expected to be idle`() {
        assertTrue(forecast.hasCeased("t", 0))
        assertEquals(0.0, forecast.expectedMachines("t", 1.0, 0))
    }

    @Example
    fun `the weight of an arrival decays with the window`() {
        arrive(atS = 0)
        assertEquals(1.0, forecast.expectedMachines("t", 1.0, 0), 1e-9, "100 machine seconds in a window of 100 s")
        assertEquals(Math.exp(-0.5), forecast.expectedMachines("t", 1.0, 50 * SECOND), 1e-9)
        assertEquals(2.0, forecast.expectedMachines("t", 0.5, 0), 1e-9, "half of a machine's time can be filled")
    }

    @Example
    fun `urgent arrivals count with one standard deviation, whatever the utilization`() {
        arrive(atS = 0, urgent = true)
        assertEquals(1.0 + Math.sqrt(5.0), forecast.expectedMachines("t", 0.5, 0), 1e-9)
    }

    @Example
    fun `arrivals have ceased when eight would have been expected since the last`() {
        arrive(atS = 0)
        assertFalse(forecast.hasCeased("t", 800 * SECOND))
        assertTrue(forecast.hasCeased("t", 800 * SECOND + 1))
    }

    @Example
    fun `the forecast learns for one window`() {
        assertTrue(forecast.isLearning(100 * SECOND - 1))
        assertFalse(forecast.isLearning(100 * SECOND))
    }
}
