package lichenstage.ci

import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

/** Exactly the listed tests must fail. */
class KnownRedTest {
    private val red = TestId("a.RedTest", "fails for a reason")
    private val green = TestId("a.GreenTest", "passes")
    private val list = "$red | mvn test, seed 7 | two starts | 30\n"

    private fun findProblems(
        text: String,
        failed: Set<TestId> = setOf(red),
        classesWithoutReport: List<String> = emptyList(),
    ) = KnownRed.parse(text).findProblems(TestResults(setOf(red, green) - failed, failed), classesWithoutReport)

    @Example
    fun `a listed test that fails is accepted`() = assertTrue(findProblems(list).isEmpty()) { "${findProblems(list)}" }

    @Example
    fun `an empty list and no failed test are accepted`() = assertTrue(findProblems("\n", failed = emptySet()).isEmpty()) { "refused" }

    @Example
    fun `other failures, listed tests that pass, unknown tests, a fourth line and incomplete lines are reported, one line each`() {
        val cases =
            mapOf(
                findProblems("") to "failed: $red",
                findProblems(list, failed = setOf(red, green)) to "failed: $green",
                findProblems(list, failed = emptySet()) to "KNOWN-RED.txt names a test that passes: $red",
                findProblems(list + "a.NoTest#x | c | s | 1") to "KNOWN-RED.txt names no test: a.NoTest#x",
                findProblems(list.repeat(4)) to "KNOWN-RED.txt has more than 3 lines",
                findProblems(list + "a.GreenTest passes") to "KNOWN-RED.txt: not of the form ${KnownRed.ENTRY_FORMAT}: a.GreenTest passes",
                findProblems(list + "a.GreenTest#passes | c | | 3") to
                    "KNOWN-RED.txt: not of the form ${KnownRed.ENTRY_FORMAT}: a.GreenTest#passes | c | | 3",
                findProblems(list + "a.GreenTest#passes | c | 3") to
                    "KNOWN-RED.txt: not of the form ${KnownRed.ENTRY_FORMAT}: a.GreenTest#passes | c | 3",
                findProblems("$red | | s | 30", failed = emptySet()) to
                    "KNOWN-RED.txt: not of the form ${KnownRed.ENTRY_FORMAT}: $red | | s | 30",
                findProblems(list, classesWithoutReport = listOf("a.LostTest")) to "did not run: a.LostTest",
            )
        for ((problems, expected) in cases) assertEquals(listOf(expected), problems)
    }
}
