package lichenstage.common

import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals

class RateLimitedLogTest {
    @Example
    fun `at most so many lines are written in a time, and how many were left out is told`() {
        var now = 0L
        val written = ArrayList<String>()
        val log = RateLimitedLog({ now }, maxLines = 3, periodUs = SECOND) { written += it }
        repeat(5) { n -> log.info { "line $n" } }
        assertEquals(listOf("line 0", "line 1", "line 2"), written) { "$written" }
        now = SECOND + 1
        log.info { "later" }
        assertEquals(listOf("2 lines were left out", "later"), written.drop(3)) { "$written" }
    }
}
