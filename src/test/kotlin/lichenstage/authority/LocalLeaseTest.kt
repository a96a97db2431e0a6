package lichenstage.authority

import lichenstage.common.MILLI
import lichenstage.common.SECOND
import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue

class LocalLeaseTest {
    /** The service's clock runs up to 0.05% off, and it hears of a renewal some time after it was sent. */
    @Property(tries = 300, seed = "57")
    fun `authority ends here before the lease can end there`(
        @ForAll @IntRange(min = 100, max = 600_000) durationMs: Int,
        @ForAll @IntRange(min = 0, max = 3_000) delayMs: Int,
        @ForAll @IntRange(min = -5, max = 5) drift: Int,
    ) {
        val durationUs = durationMs * MILLI
        val lease = LocalLease(durationUs).apply { onGranted(1, 0) }
        val rate = 1.0 + drift / 10_000.0
        val endsThere = delayMs * MILLI + (durationUs * rate).toLong()
        assertFalse(lease.isValid(endsThere)) { "still valid when the lease of $durationMs ms had ended" }
        if (durationMs > 1_000) assertTrue(lease.isValid(durationUs / 2)) { "given up at half its life" }
    }

    @Example
    fun `renewals count from when they were sent, in whatever order they are answered`() {
        val lease = LocalLease(5 * SECOND).apply { onGranted(1, 0) }
        lease.onRenewed(3 * SECOND)
        lease.onRenewed(2 * SECOND)
        assertTrue(lease.isValid(7 * SECOND) && !lease.isValid(8 * SECOND)) { "the later renewal does not count" }
    }

    @Example
    fun `after its end only a new grant gives authority`() {
        val lease = LocalLease(5 * SECOND).apply { onGranted(1, 0) }
        lease.onEnded()
        lease.onRenewed(SECOND)
        assertTrue(!lease.isValid(SECOND) && lease.id == null) { "a late answer brought it back" }
        lease.onGranted(2, SECOND)
        assertTrue(lease.isValid(2 * SECOND) && lease.id == 2L) { "not granted" }
    }
}
