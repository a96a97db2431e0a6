package lichenstage.authority

import lichenstage.common.SECOND
import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

/** Guards against controllers that lose their lease while they stall, and against a failover that takes longer than a worker lease. */
class LeaseDurationTest {
    @Example
    fun `a process with a large enough share of a core gets the short lease`() {
        assertEquals(4 * SECOND, LeaseDuration.of(26 * SECOND, 1.0), "one core")
        assertEquals(4 * SECOND, LeaseDuration.of(26 * SECOND, 0.255), "a quarter of a core")
        assertEquals(4 * SECOND, LeaseDuration.of(17 * SECOND, 0.136), "an eighth of a core")
        assertEquals(2 * SECOND, LeaseDuration.of(8 * SECOND, 1.0), "short worker leases")
    }

    /** A newly started process can use half a second of CPU time without a break, and must not lose its lease by that. */
    @Example
    fun `with a small share of a core the lease outlasts a stall`() {
        for (share in listOf(0.08, 0.1)) {
            val leaseUs = LeaseDuration.of(26 * SECOND, share)
            assertTrue(leaseUs >= SECOND / 2 / share, "$share of a core: $leaseUs")
        }
    }

    /** The rest of the worker lease must suffice for failure detection, failover and the worker's way to the new owner. */
    @Property(tries = 200)
    fun `a process lease takes at most a third of the worker lease, but at least 2 s`(
        @ForAll @IntRange(min = 6, max = 120) workerLeaseS: Int,
        @ForAll @IntRange(min = 1, max = 1000) shareThousandths: Int,
    ) {
        val leaseUs = LeaseDuration.of(workerLeaseS * SECOND, shareThousandths / 1000.0)
        assertTrue(leaseUs >= 2 * SECOND, "$leaseUs")
        assertTrue(leaseUs <= maxOf(2 * SECOND, workerLeaseS * SECOND / 3), "$leaseUs of $workerLeaseS s")
    }
}
