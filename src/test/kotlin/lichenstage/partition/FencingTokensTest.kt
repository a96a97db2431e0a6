package lichenstage.partition

import lichenstage.app.SECOND
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
        val tokens = FencingTokens(term, 0)
        val reserved = HashSet<Long>()
        var counter = term
        var last = term
        repeat(40) {
            if (random.nextBoolean()) {
                val first = counter + 1 + random.nextInt(5)
                counter = first + random.nextInt(4)
                tokens.add(first..counter)
                reserved += first..counter
            }
            val token = tokens.next() ?: return@repeat
            assertTrue(token > last && token in reserved) { "$token after $last, of $reserved" }
            assertTrue(tokens.isOurs(token) && tokens.isOurs(term) && !tokens.isOurs(token + 1)) { "$token" }
            last = token
        }
    }

    @Example
    fun `tokens that are not above all others are of no use, and an empty reserve says so`() {
        val tokens = FencingTokens(10, 0)
        assertTrue(tokens.next() == null && tokens.isLow) { "a token from nowhere" }
        tokens.add(5L..10L)
        assertNull(tokens.next()) { "an old token" }
        tokens.add(11L..40L)
        assertTrue(!tokens.isLow && tokens.next() == 11L) { "not taken up" }
        tokens.add(30L..90L)
        assertTrue((12L..40L).all { tokens.next() == it } && tokens.next() == null) { "tokens were given twice" }
    }

    @Example
    fun `a reserve that is low is filled up, not in the first seconds unless a token is lacking, and no more than every other second`() {
        val tokens = FencingTokens(10, acquiredUs = SECOND)
        assertFalse(tokens.reservationDue(4 * SECOND, isLacking = false)) { "while keys change hands" }
        assertTrue(tokens.reservationDue(4 * SECOND, isLacking = true)) { "not although one is lacking" }
        assertFalse(tokens.reservationDue(5 * SECOND, isLacking = true)) { "at once again" }
        assertTrue(tokens.reservationDue(6 * SECOND, isLacking = false)) { "not again" }
        tokens.add(11L..40L)
        assertFalse(tokens.reservationDue(60 * SECOND, isLacking = false)) { "though there are enough" }
    }
}
