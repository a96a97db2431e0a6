package lichenstage.authority

import lichenstage.common.SECOND
import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

class LeaseDurationTest {
    @Example
    fun `a process with enough of a core has the short lease`() {
        assertEquals(4 * SECOND, LeaseDuration.of(26 * SECOND, 1.0), "a whole core")
        assertEquals(4 * SECOND, LeaseDuration.of(26 * SECOND, 0.255), "a quarter")
        assertEquals(4 * SECOND, LeaseDuration.of(17 * SECOND, 0.136), "an eighth")
        assertEquals(2 * SECOND, LeaseDuration.of(8 * SECOND, 1.0), "short leases of workers")
    }

    /** Half a second of processor time at a stretch, while it is cold, must not cost it the lease. */
    @Example
    fun `on a small machine the lease outlasts a stall`() {
        for (share in listOf(0.08, 0.1)) {
            val leaseUs = LeaseDuration.of(26 * SECOND, share)
            assertTrue(leaseUs >= SECOND / 2 / share, "$share of a core: $leaseUs")
        }
    }

    @Property(tries = 200)
    fun `a worker's lease outlasts failure detection, failover and its way to the new owner`(
        @ForAll @IntRange(min = 6, max = 120) workerLeaseS: Int,
        @ForAll @IntRange(min = 1, max = 1000) shareThousandths: Int,
    ) {
        val leaseUs = LeaseDuration.of(workerLeaseS * SECOND, shareThousandths / 1000.0)
        assertTrue(leaseUs >= 2 * SECOND, "$leaseUs")
        assertTrue(leaseUs <= maxOf(2 * SECOND, workerLeaseS * SECOND / 3), "$leaseUs of $workerLeaseS s")
    }
}
