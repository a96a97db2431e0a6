package lichenstage.authority

import lichenstage.common.MILLI
import lichenstage.common.SECOND
import lichenstage.common.withDrift
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
        @ForAll @IntRange(min = 100, max = 600_000) lifeMs: Int,
        @ForAll @IntRange(min = 0, max = 3_000) delayMs: Int,
        @ForAll @IntRange(min = -5, max = 5) drift: Int,
    ) {
        val incarnation = lifeMs * MILLI
        val lease = LocalLease(incarnation).apply { granted(1, 0) }
        val rate = 1.0 + drift / 10_000.0
        val endsThere = delayMs * MILLI + (incarnation * rate).toLong()
        assertFalse(lease.isValid(endsThere)) { "still valid when the lease of $lifeMs ms had ended" }
        if (lifeMs > 1_000) assertTrue(lease.isValid(incarnation / 2)) { "given up at half its life" }
    }

    @Example
    fun `renewals count from when they were sent, in whatever order they are answered`() {
        val lease = LocalLease(5 * SECOND).apply { granted(1, 0) }
        lease.renewed(3 * SECOND)
        lease.renewed(2 * SECOND)
        assertTrue(lease.isValid(7 * SECOND) && !lease.isValid(8 * SECOND)) { "the later renewal does not count" }
    }

    @Example
    fun `after its end only a new grant gives authority`() {
        val lease = LocalLease(5 * SECOND).apply { granted(1, 0) }
        lease.ended()
        lease.renewed(SECOND)
        assertTrue(!lease.isValid(SECOND) && lease.id == null) { "a late answer brought it back" }
        lease.granted(2, SECOND)
        assertTrue(lease.isValid(2 * SECOND) && lease.id == 2L) { "not granted" }
    }

    @Example
    fun `a pact needs everybody, carries on without a gap, and ends with the first who is silent`() {
        val lease = LocalLease(5 * SECOND).apply { granted(1, 0) }
        val peerMoratoriums = PeerMoratoriums(setOf("a", "b"))

        fun hear(
            from: String,
            askedUs: Long,
        ) {
            peerMoratoriums.granted(from, askedUs)
            lease.extendedByMoratoriums(peerMoratoriums.grantedUntilUs(), askedUs + MILLI)
        }
        hear("a", 4 * SECOND)
        assertFalse(lease.isValid(5 * SECOND)) { "one of two is not enough" }
        hear("b", 4 * SECOND)
        assertTrue(lease.isValid(5 * SECOND) && !lease.isValid(6 * SECOND)) { "both are bound for 2 s" }
        hear("a", 5 * SECOND)
        hear("b", 5 * SECOND)
        hear("a", 6 * SECOND)
        assertTrue(lease.isValid(6 * SECOND) && !lease.isValid(7 * SECOND)) { "b is silent since 5 s" }
        hear("a", 8 * SECOND)
        hear("b", 8 * SECOND)
        assertFalse(lease.isValid(8 * SECOND)) { "after a gap somebody else may hold the keys" }
    }

    @Example
    fun `who has promised takes nothing until every asker has stopped counting on it, and neither does a new process`() {
        val localMoratorium = LocalMoratorium(0)
        assertTrue(
            !localMoratorium.hasExpired(PeerMoratoriums.MORATORIUM_US) && localMoratorium.hasExpired(3 * SECOND),
        ) { "the process before it may have promised" }
        localMoratorium.grant(10 * SECOND)
        assertTrue(
            !localMoratorium.hasExpired(10 * SECOND + withDrift(PeerMoratoriums.MORATORIUM_US)) && localMoratorium.hasExpired(13 * SECOND),
        ) {
            "not bound"
        }
    }
}
