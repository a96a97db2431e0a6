package lichenstage.common

import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals

/** Guards against a log without a limit, and against dropped lines that are not counted. */
class RateLimitedLogTest {
    @Example
    fun `lines over the limit of a period are dropped and the next period starts with their number`() {
        var nowUs = 0L
        val written = ArrayList<String>()
        val log = RateLimitedLog({ nowUs }, maxLines = 3, periodUs = SECOND) { written += it }
        repeat(5) { n -> log.info { "line $n" } }
        assertEquals(listOf("line 0", "line 1", "line 2"), written) { "$written" }
        nowUs = SECOND + 1
        log.info { "later" }
        assertEquals(listOf("Log lines dropped count=2", "later"), written.drop(3)) { "$written" }
    }
}
