package lichenstage.ci

import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

/**
 * Guards the rule that exactly the tests listed in KNOWN-RED.txt may fail. If a problem were missed, CI would pass over a failed test that
 * is not listed, or the list would keep tests that pass or no longer exist.
 */
class KnownRedTest {
    private val red = TestId("a.RedTest", "fails for a reason")
    private val green = TestId("a.GreenTest", "passes")
    private val list = "$red | mvn test, seed 7 | two starts | 30\n"

    private fun findProblems(
        text: String,
        failed: Set<TestId> = setOf(red),
        classesWithoutReport: List<String> = emptyList(),
    ) = KnownRed.parse(text).findProblems(TestResults(setOf(red, green) - failed, failed), classesWithoutReport) {
        it.toString() in setOf("review/3/run.sh", "a.SweepKt")
    }

    @Example
    fun `a test run in which exactly the listed test fails has no problems`() =
        assertTrue(findProblems(list).isEmpty()) {
            "${findProblems(list)}"
        }

    @Example
    fun `a script and a program outside of the default run are listed without a problem beside tests of the run`() {
        val notRun = "review/3/run.sh | TROUBLE=1 | waits | 48\na.SweepKt | late-orders 910898 1 | waits | 37"
        assertTrue(findProblems(list + notRun).isEmpty()) { "${findProblems(list + notRun)}" }
        assertEquals(listOf("review/3/run.sh", "a.SweepKt"), KnownRed.parse(list + notRun).entriesNotRun.map { it.subject.toString() })
        assertEquals(listOf("KNOWN-RED.txt: listed test passed: $red"), findProblems(list + notRun, failed = emptySet()))
    }

    @Example
    fun `lines that name something outside of the default run do not count against the limit`() {
        val notRun = "review/3/run.sh | TROUBLE=1 | waits | 48\n"
        assertEquals(emptyList<String>(), findProblems(list.repeat(3) + notRun.repeat(4)))
        assertEquals(1, findProblems(list.repeat(4) + notRun.repeat(4)).size)
    }

    @Example
    fun `a test run without failures has no problems if the list is empty`() =
        assertTrue(findProblems("\n", failed = emptySet()).isEmpty()) {
            "problems reported for an empty list and no failed test"
        }

    @Example
    fun `unlisted failures, listed tests that pass or did not run, a fourth line and malformed lines are each reported as one problem`() {
        val cases =
            mapOf(
                findProblems("") to "failed: $red",
                findProblems(list, failed = setOf(red, green)) to "failed: $green",
                findProblems(list, failed = emptySet()) to "KNOWN-RED.txt: listed test passed: $red",
                findProblems(list + "a.NoTest#x | c | s | 1") to "KNOWN-RED.txt: listed test not run: a.NoTest#x",
                findProblems(list + "review/9/run.sh | c | s | 1") to "KNOWN-RED.txt: does not exist: review/9/run.sh",
                findProblems(list + "a.NoSweepKt | c | s | 1") to "KNOWN-RED.txt: does not exist: a.NoSweepKt",
                findProblems(list + "a.GreenTest | c | s | 1") to
                    "KNOWN-RED.txt: line must be of the form ${KnownRed.ENTRY_FORMAT}, was: a.GreenTest | c | s | 1",
                findProblems(list.repeat(4)) to "KNOWN-RED.txt: at most 3 lines may name tests of CI",
                findProblems(list + "a.GreenTest passes") to
                    "KNOWN-RED.txt: line must be of the form ${KnownRed.ENTRY_FORMAT}, was: a.GreenTest passes",
                findProblems(list + "a.GreenTest#passes | c | | 3") to
                    "KNOWN-RED.txt: line must be of the form ${KnownRed.ENTRY_FORMAT}, was: a.GreenTest#passes | c | | 3",
                findProblems(list + "a.GreenTest#passes | c | 3") to
                    "KNOWN-RED.txt: line must be of the form ${KnownRed.ENTRY_FORMAT}, was: a.GreenTest#passes | c | 3",
                findProblems("$red | | s | 30", failed = emptySet()) to
                    "KNOWN-RED.txt: line must be of the form ${KnownRed.ENTRY_FORMAT}, was: $red | | s | 30",
                findProblems(list, classesWithoutReport = listOf("a.LostTest")) to "did not run: a.LostTest",
            )
        for ((problems, expected) in cases) assertEquals(listOf(expected), problems)
    }
}
