package lichenstage.authority

import lichenstage.common.MILLI
import lichenstage.common.SECOND
import lichenstage.common.withDrift
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue

/** Acquisition moratoriums: what the others grant, and what this process grants. */
class MoratoriumsTest {
    @Example
    fun `moratoriums extend the lease while all others grant them without a gap`() {
        val lease = LocalLease(5 * SECOND).apply { onGranted(1, 0) }
        val peerMoratoriums = PeerMoratoriums(setOf("a", "b"))

        fun grant(
            from: String,
            requestedAtUs: Long,
        ) {
            peerMoratoriums.recordGrant(from, requestedAtUs)
            lease.extendByMoratoriums(peerMoratoriums.grantedUntilUs(), requestedAtUs + MILLI)
        }
        grant("a", 4 * SECOND)
        assertFalse(lease.isValid(5 * SECOND)) { "one of two is not enough" }
        grant("b", 4 * SECOND)
        assertTrue(lease.isValid(5 * SECOND) && !lease.isValid(6 * SECOND)) { "both are bound for 2 s" }
        grant("a", 5 * SECOND)
        grant("b", 5 * SECOND)
        grant("a", 6 * SECOND)
        assertTrue(lease.isValid(6 * SECOND) && !lease.isValid(7 * SECOND)) { "b is silent since 5 s" }
        grant("a", 8 * SECOND)
        grant("b", 8 * SECOND)
        assertFalse(lease.isValid(8 * SECOND)) { "after a gap somebody else may hold the keys" }
    }

    @Example
    fun `a moratorium binds its granter for longer than others count on it, and a new process from its start`() {
        val localMoratorium = LocalMoratorium(0)
        assertTrue(
            !localMoratorium.hasExpired(PeerMoratoriums.MORATORIUM_US) && localMoratorium.hasExpired(3 * SECOND),
        ) { "the process before it may have granted one" }
        localMoratorium.grant(10 * SECOND)
        assertTrue(
            !localMoratorium.hasExpired(10 * SECOND + withDrift(PeerMoratoriums.MORATORIUM_US)) && localMoratorium.hasExpired(13 * SECOND),
        ) {
            "not bound"
        }
    }
}
