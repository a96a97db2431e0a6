package lichenstage.ci

import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

/** Exactly the listed tests must fail. */
class KnownRedTest {
    private val red = TestId("a.RedTest", "fails for a reason")
    private val green = TestId("a.GreenTest", "passes")
    private val list = "$red | mvn test, seed 7 | two starts | 30\n"

    private fun verdict(
        text: String,
        failed: Set<TestId> = setOf(red),
        missing: List<String> = emptyList(),
    ) = KnownRed.parse(text).verdict(TestResults(setOf(red, green) - failed, failed), missing)

    @Example
    fun `a listed test that fails is accepted`() = assertTrue(verdict(list).isEmpty()) { "${verdict(list)}" }

    @Example
    fun `an empty list and no failed test are accepted`() = assertTrue(verdict("\n", failed = emptySet()).isEmpty()) { "refused" }

    @Example
    fun `other failures, listed tests that pass, unknown tests, a fourth line and incomplete lines are reported, one line each`() {
        val cases =
            mapOf(
                verdict("") to "failed: $red",
                verdict(list, failed = setOf(red, green)) to "failed: $green",
                verdict(list, failed = emptySet()) to "KNOWN-RED.txt names a test that passes: $red",
                verdict(list + "a.NoTest#x | c | s | 1") to "KNOWN-RED.txt names no test: a.NoTest#x",
                verdict(list.repeat(4)) to "KNOWN-RED.txt has more than 3 lines",
                verdict(list + "a.GreenTest passes") to "KNOWN-RED.txt: not of the form ${KnownRed.FORM}: a.GreenTest passes",
                verdict(list + "a.GreenTest#passes | c | | 3") to
                    "KNOWN-RED.txt: not of the form ${KnownRed.FORM}: a.GreenTest#passes | c | | 3",
                verdict(list + "a.GreenTest#passes | c | 3") to
                    "KNOWN-RED.txt: not of the form ${KnownRed.FORM}: a.GreenTest#passes | c | 3",
                verdict("$red | | s | 30", failed = emptySet()) to "KNOWN-RED.txt: not of the form ${KnownRed.FORM}: $red | | s | 30",
                verdict(list, missing = listOf("a.LostTest")) to "did not run: a.LostTest",
            )
        for ((problems, expected) in cases) assertEquals(listOf(expected), problems)
    }
}
