package lichenstage.authority

import lichenstage.app.warmUpSettings
import lichenstage.common.MILLI
import lichenstage.common.SECOND
import lichenstage.config.Settings
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

class AcquisitionDelayTest {
    private val delay = AcquisitionDelay(Settings.parse(warmUpSettings(8080, 8081, 8082)))

    private fun delayUs(
        home: String,
        isHomeHealthy: Boolean,
    ) = delay.delayUs(isLeadership = false, heldKeyCount = 1, home = home, hasEverBeenOwned = true, isHomeHealthy = isHomeHealthy)

    /** All come back within a second: whoever is first leaves the partitions of the others to them, but not for ever. */
    @Example
    fun `a partition waits for its home controller where that is healthy`() {
        val unhealthy = delayUs("b", isHomeHealthy = false)
        assertTrue(unhealthy < SECOND, "its home controller is gone: $unhealthy")
        val healthy = delayUs("b", isHomeHealthy = true)
        assertTrue(healthy in 4 * SECOND..8 * SECOND, "its home controller is healthy: $healthy")
    }

    @Example
    fun `a controller acquires its home partition at once`() {
        assertEquals(0L, delayUs("a", isHomeHealthy = false))
    }

    @Example
    fun `a process that runs late leaves keys to others for a bounded time`() {
        assertEquals(0L, AcquisitionDelay.lagDelayUs(0), "in time")
        assertEquals(0L, AcquisitionDelay.lagDelayUs(200 * MILLI), "a little late")
        assertTrue(AcquisitionDelay.lagDelayUs(SECOND) in 500 * MILLI..SECOND, "late")
        assertEquals(2 * SECOND, AcquisitionDelay.lagDelayUs(60 * SECOND), "very late")
    }
}
