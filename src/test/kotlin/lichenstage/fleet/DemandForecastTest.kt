package lichenstage.fleet

import lichenstage.common.SECOND
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue

/** Guards against a forecast that keeps too many machines after arrivals have ceased, or too few for urgent jobs. */
class DemandForecastTest {
    private val forecast = DemandForecast(startedAtUs = 0)

    private fun arrive(
        atS: Long,
        isUrgent: Boolean = false,
    ) = forecast.recordArrival(JobArrival("t", atS * SECOND, machines = 5.0, runUs = 20 * SECOND, isUrgent))

    @Example
    fun `no machines are expected for a type that no job has requested`() {
        assertTrue(forecast.hasCeased("t", 0))
        assertEquals(0.0, forecast.expectedMachines("t", 1.0, 0))
    }

    @Example
    fun `the weight of an arrival decays exponentially with the window as time constant`() {
        arrive(atS = 0)
        assertEquals(1.0, forecast.expectedMachines("t", 1.0, 0), 1e-9, "100 machine seconds in a window of 100 s")
        assertEquals(Math.exp(-0.5), forecast.expectedMachines("t", 1.0, 50 * SECOND), 1e-9)
        assertEquals(2.0, forecast.expectedMachines("t", 0.5, 0), 1e-9, "half of a machine's time can be filled")
    }

    @Example
    fun `urgent arrivals add one standard deviation regardless of the utilization`() {
        arrive(atS = 0, isUrgent = true)
        assertEquals(1.0 + Math.sqrt(5.0), forecast.expectedMachines("t", 0.5, 0), 1e-9)
    }

    @Example
    fun `arrivals have ceased once eight would have been expected since the last one`() {
        arrive(atS = 0)
        assertFalse(forecast.hasCeased("t", 800 * SECOND))
        assertTrue(forecast.hasCeased("t", 800 * SECOND + 1))
    }

    @Example
    fun `the forecast is learning for one window after the start of the term`() {
        assertTrue(forecast.isLearning(100 * SECOND - 1))
        assertFalse(forecast.isLearning(100 * SECOND))
    }
}
