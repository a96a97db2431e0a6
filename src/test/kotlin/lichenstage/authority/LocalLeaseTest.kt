package lichenstage.authority

import lichenstage.common.MILLI
import lichenstage.common.SECOND
import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue

/** Guards against a process that acts on its ownerships after its lease has ended in the state service. */
class LocalLeaseTest {
    /** The clock of the service deviates by up to 0.05%, and the service receives a request some time after it was sent. */
    @Property(tries = 300, seed = "57")
    fun `the local lease ends before the lease in the state service`(
        @ForAll @IntRange(min = 100, max = 600_000) durationMs: Int,
        @ForAll @IntRange(min = 0, max = 3_000) delayMs: Int,
        @ForAll @IntRange(min = -5, max = 5) drift: Int,
    ) {
        val durationUs = durationMs * MILLI
        val lease = LocalLease(durationUs).apply { onGranted(1, 0) }
        val rate = 1.0 + drift / 10_000.0
        val serviceExpiryUs = delayMs * MILLI + (durationUs * rate).toLong()
        assertFalse(lease.isValid(serviceExpiryUs)) { "still valid when the lease of $durationMs ms had ended" }
        if (durationMs > 1_000) assertTrue(lease.isValid(durationUs / 2)) { "ended after half of its duration" }
    }

    @Example
    fun `the latest sent renewal decides, whatever the order of the replies`() {
        val lease = LocalLease(5 * SECOND).apply { onGranted(1, 0) }
        lease.onRenewed(3 * SECOND)
        lease.onRenewed(2 * SECOND)
        assertTrue(lease.isValid(7 * SECOND) && !lease.isValid(8 * SECOND)) { "the later renewal was ignored" }
    }

    @Example
    fun `after the end of a lease only a new grant makes it valid`() {
        val lease = LocalLease(5 * SECOND).apply { onGranted(1, 0) }
        lease.onEnded()
        lease.onRenewed(SECOND)
        assertTrue(!lease.isValid(SECOND) && lease.id == null) { "a late renewal made the lease valid again" }
        lease.onGranted(2, SECOND)
        assertTrue(lease.isValid(2 * SECOND) && lease.id == 2L) { "the new grant has no effect" }
    }
}
