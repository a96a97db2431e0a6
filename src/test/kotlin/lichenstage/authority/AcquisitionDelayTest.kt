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
        homeController: String,
        isHomeHealthy: Boolean,
    ) = delay.delayUs(
        isLeadership = false,
        ownedKeyCount = 1,
        homeController = homeController,
        hasEverBeenOwned = true,
        isHomeHealthy = isHomeHealthy,
    )

    /**
     * Guards against a change of owner right after a restart of all controllers: the first one to start must leave partitions to their home
     * controllers for a while, but not if these are unhealthy.
     */
    @Example
    fun `a controller delays acquiring a partition whose home controller is healthy`() {
        val unhealthy = delayUs("b", isHomeHealthy = false)
        assertTrue(unhealthy < SECOND, "delay with an unhealthy home controller: $unhealthy")
        val healthy = delayUs("b", isHomeHealthy = true)
        assertTrue(healthy in 4 * SECOND..8 * SECOND, "delay with a healthy home controller: $healthy")
    }

    @Example
    fun `a controller acquires its home partition at once`() {
        assertEquals(0L, delayUs("a", isHomeHealthy = false))
    }

    @Example
    fun `a process with event loop lag delays acquisitions for a bounded time`() {
        assertEquals(0L, AcquisitionDelay.lagDelayUs(0), "no lag")
        assertEquals(0L, AcquisitionDelay.lagDelayUs(200 * MILLI), "tolerated lag")
        assertTrue(AcquisitionDelay.lagDelayUs(SECOND) in 500 * MILLI..SECOND, "lag of 1 s")
        assertEquals(2 * SECOND, AcquisitionDelay.lagDelayUs(60 * SECOND), "lag of 60 s")
    }
}
