package lichenstage.authority

import lichenstage.common.MILLI
import lichenstage.common.SECOND
import lichenstage.common.withDrift
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue

/**
 * Guards against two owners of one key during an outage of the state service: one that relies on moratoriums too long, and one that
 * acquires keys while others still rely on its moratorium.
 */
class MoratoriumsTest {
    @Example
    fun `moratoriums extend the lease while all other controllers grant them without a gap`() {
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
        assertFalse(lease.isValid(5 * SECOND)) { "extended by one grant of two" }
        grant("b", 4 * SECOND)
        assertTrue(lease.isValid(5 * SECOND) && !lease.isValid(6 * SECOND)) { "two grants at 4 s extend the lease to 6 s" }
        grant("a", 5 * SECOND)
        grant("b", 5 * SECOND)
        grant("a", 6 * SECOND)
        assertTrue(lease.isValid(6 * SECOND) && !lease.isValid(7 * SECOND)) { "the last grant of b was at 5 s" }
        grant("a", 8 * SECOND)
        grant("b", 8 * SECOND)
        assertFalse(lease.isValid(8 * SECOND)) { "valid again after a gap, although another controller may own the keys" }
    }

    @Example
    fun `a granted moratorium lasts longer than its requester relies on it, and a new process starts with one`() {
        val localMoratorium = LocalMoratorium(0)
        assertTrue(
            !localMoratorium.hasExpired(PeerMoratoriums.MORATORIUM_US) && localMoratorium.hasExpired(3 * SECOND),
        ) { "no moratorium at the start, although an earlier process may have granted one" }
        localMoratorium.grant(10 * SECOND)
        assertTrue(
            !localMoratorium.hasExpired(10 * SECOND + withDrift(PeerMoratoriums.MORATORIUM_US)) && localMoratorium.hasExpired(13 * SECOND),
        ) {
            "the moratorium ended too early or too late"
        }
    }
}
