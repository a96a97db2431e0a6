package lichenstage.partition

import lichenstage.common.SECOND
import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import java.util.Random

/** Tokens of one owner: each is used once, in rising order, and only what was reserved. */
class FencingTokensTest {
    @Property(tries = 200)
    fun `tokens rise, are those reserved, and are this owner's own`(
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
    fun `tokens that are not above all others are of no use, and an empty reserve says so`() {
        val fencingTokens = FencingTokens(10, 0)
        assertTrue(fencingTokens.next() == null && fencingTokens.isLow) { "a token from nowhere" }
        fencingTokens.addReserved(5L..10L)
        assertNull(fencingTokens.next()) { "an old token" }
        fencingTokens.addReserved(11L..40L)
        assertTrue(!fencingTokens.isLow && fencingTokens.next() == 11L) { "not taken up" }
        fencingTokens.addReserved(30L..90L)
        assertTrue((12L..40L).all { fencingTokens.next() == it } && fencingTokens.next() == null) { "tokens were given twice" }
    }

    @Example
    fun `a reserve that is low is filled up, not in the first seconds unless a token is lacking, and no more than every other second`() {
        val fencingTokens = FencingTokens(10, acquiredAtUs = SECOND)
        assertFalse(fencingTokens.beginReservationIfDue(4 * SECOND, lacksToken = false)) { "while keys change hands" }
        assertTrue(fencingTokens.beginReservationIfDue(4 * SECOND, lacksToken = true)) { "not although one is lacking" }
        assertFalse(fencingTokens.beginReservationIfDue(5 * SECOND, lacksToken = true)) { "at once again" }
        assertTrue(fencingTokens.beginReservationIfDue(6 * SECOND, lacksToken = false)) { "not again" }
        fencingTokens.addReserved(11L..40L)
        assertFalse(fencingTokens.beginReservationIfDue(60 * SECOND, lacksToken = false)) { "though there are enough" }
    }
}
