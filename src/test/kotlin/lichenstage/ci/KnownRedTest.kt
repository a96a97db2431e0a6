package lichenstage.ci

import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

/** Only what is listed may fail, and what is listed must. */
class KnownRedTest {
    private val red = TestId("a.RedTest", "fails for a reason")
    private val green = TestId("a.GreenTest", "passes")
    private val list = "$red | a cause | 30\n"

    private fun verdict(
        text: String,
        failed: Set<TestId> = setOf(red),
        missing: List<String> = emptyList(),
    ) = KnownRed.parse(text).verdict(TestResults(setOf(red, green) - failed, failed), missing)

    @Example
    fun `a listed test that fails is passed over`() = assertTrue(verdict(list).isEmpty()) { "${verdict(list)}" }

    @Example
    fun `nothing listed and nothing failed is well`() = assertTrue(verdict("\n", failed = emptySet()).isEmpty()) { "not well" }

    @Example
    fun `what else fails, a listed test that passes, an unknown one, a fourth line and a malformed one are told, a line each`() {
        val cases =
            mapOf(
                verdict("") to "failed: $red",
                verdict(list, failed = setOf(red, green)) to "failed: $green",
                verdict(list, failed = emptySet()) to "KNOWN-RED.txt names a test that passes: $red",
                verdict(list + "a.NoTest#x | c | 1") to "KNOWN-RED.txt names no test: a.NoTest#x",
                verdict(list.repeat(4)) to "KNOWN-RED.txt has more than 3 lines",
                verdict(list + "a.GreenTest passes") to "KNOWN-RED.txt: not of the form CLASS#TEST | cause | issue: a.GreenTest passes",
                verdict(list + "a.GreenTest#passes | | 3") to
                    "KNOWN-RED.txt: not of the form CLASS#TEST | cause | issue: a.GreenTest#passes | | 3",
                verdict(list, missing = listOf("a.LostTest")) to "did not run: a.LostTest",
            )
        for ((told, expected) in cases) assertEquals(listOf(expected), told) { "$told, not $expected" }
    }
}
