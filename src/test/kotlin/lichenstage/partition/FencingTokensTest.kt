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
        val reserved = HashSet<Long>()
        var counter = term
        var last = term
        repeat(40) {
            if (random.nextBoolean()) {
                val first = counter + 1 + random.nextInt(5)
                counter = first + random.nextInt(4)
                fencingTokens.add(first..counter)
                reserved += first..counter
            }
            val fencingToken = fencingTokens.next() ?: return@repeat
            assertTrue(fencingToken > last && fencingToken in reserved) { "$fencingToken after $last, of $reserved" }
            assertTrue(
                fencingTokens.isOwnersToken(fencingToken) && fencingTokens.isOwnersToken(term) &&
                    !fencingTokens.isOwnersToken(fencingToken + 1),
            ) { "$fencingToken" }
            last = fencingToken
        }
    }

    @Example
    fun `tokens that are not above all others are of no use, and an empty reserve says so`() {
        val fencingTokens = FencingTokens(10, 0)
        assertTrue(fencingTokens.next() == null && fencingTokens.isLow) { "a token from nowhere" }
        fencingTokens.add(5L..10L)
        assertNull(fencingTokens.next()) { "an old token" }
        fencingTokens.add(11L..40L)
        assertTrue(!fencingTokens.isLow && fencingTokens.next() == 11L) { "not taken up" }
        fencingTokens.add(30L..90L)
        assertTrue((12L..40L).all { fencingTokens.next() == it } && fencingTokens.next() == null) { "tokens were given twice" }
    }

    @Example
    fun `a reserve that is low is filled up, not in the first seconds unless a token is lacking, and no more than every other second`() {
        val fencingTokens = FencingTokens(10, acquiredUs = SECOND)
        assertFalse(fencingTokens.reservationDue(4 * SECOND, isLacking = false)) { "while keys change hands" }
        assertTrue(fencingTokens.reservationDue(4 * SECOND, isLacking = true)) { "not although one is lacking" }
        assertFalse(fencingTokens.reservationDue(5 * SECOND, isLacking = true)) { "at once again" }
        assertTrue(fencingTokens.reservationDue(6 * SECOND, isLacking = false)) { "not again" }
        fencingTokens.add(11L..40L)
        assertFalse(fencingTokens.reservationDue(60 * SECOND, isLacking = false)) { "though there are enough" }
    }
}
