package lichenstage.partition

import lichenstage.common.SECOND
import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import java.util.Random

/** The tokens of one owner are issued once each, in rising order, and only from reserved ranges. */
class FencingTokensTest {
    @Property(tries = 200)
    fun `issued tokens rise, come from reserved ranges and are recognized as issued by this owner`(
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        val term = 1L + random.nextInt(100)
        val fencingTokens = FencingTokens(term, 0)
        val reservedTokens = HashSet<Long>()
        var highestReserved = term
        var lastToken = term
        repeat(40) {
            if (random.nextBoolean()) {
                val first = highestReserved + 1 + random.nextInt(5)
                highestReserved = first + random.nextInt(4)
                fencingTokens.addReserved(first..highestReserved)
                reservedTokens += first..highestReserved
            }
            val fencingToken = fencingTokens.next() ?: return@repeat
            assertTrue(fencingToken > lastToken && fencingToken in reservedTokens) { "$fencingToken after $lastToken, of $reservedTokens" }
            assertTrue(
                fencingTokens.isIssuedByOwner(fencingToken) && fencingTokens.isIssuedByOwner(term) &&
                    !fencingTokens.isIssuedByOwner(fencingToken + 1),
            ) { "$fencingToken" }
            lastToken = fencingToken
        }
    }

    @Example
    fun `ranges that are not higher than all tokens are ignored, and a pool without tokens is low`() {
        val fencingTokens = FencingTokens(10, 0)
        assertTrue(fencingTokens.next() == null && fencingTokens.isLow) { "a token was issued without a reservation" }
        fencingTokens.addReserved(5L..10L)
        assertNull(fencingTokens.next()) { "issued a token that is not higher than the term" }
        fencingTokens.addReserved(11L..40L)
        assertTrue(!fencingTokens.isLow && fencingTokens.next() == 11L) { "the reserved range was not used" }
        fencingTokens.addReserved(30L..90L)
        assertTrue((12L..40L).all { fencingTokens.next() == it } && fencingTokens.next() == null) { "tokens were issued twice" }
    }

    @Example
    fun `a low pool requests a reservation at most every 2 s, and in the first seconds only if a token is lacking`() {
        val fencingTokens = FencingTokens(10, acquiredAtUs = SECOND)
        assertFalse(fencingTokens.beginReservationIfDue(4 * SECOND, lacksTokens = false)) { "due while ownership keys are written" }
        assertTrue(fencingTokens.beginReservationIfDue(4 * SECOND, lacksTokens = true)) { "not due although a token is lacking" }
        assertFalse(fencingTokens.beginReservationIfDue(5 * SECOND, lacksTokens = true)) { "due again after 1 s" }
        assertTrue(fencingTokens.beginReservationIfDue(6 * SECOND, lacksTokens = false)) { "not due again after 2 s" }
        fencingTokens.addReserved(11L..40L)
        assertFalse(fencingTokens.beginReservationIfDue(60 * SECOND, lacksTokens = false)) { "due although enough tokens are left" }
    }
}
