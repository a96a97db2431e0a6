package lichenstage.ci

import org.w3c.dom.Element
import java.io.File
import javax.xml.parsers.DocumentBuilderFactory
import kotlin.system.exitProcess

private const val KNOWN_RED_FILE = "KNOWN-RED.txt"
private val REPORTS_FOLDER = File("target/surefire-reports")
private val SOURCES_FOLDER = File("src/test/kotlin")

/**
 * Checks the surefire reports of the latest test run against KNOWN-RED.txt: exactly the listed tests must have failed. Prints the listed
 * tests, what is listed but not part of the run, and all problems, and exits with status 1 if there are any problems.
 */
fun main() {
    val file = File(KNOWN_RED_FILE)
    val knownRed = KnownRed.parse(if (file.exists()) file.readText() else "")
    for (entry in knownRed.entries) {
        val label = if (entry in knownRed.entriesNotRun) "known red, not run here" else "known red"
        println("$label: ${entry.subject}: ${entry.observed} (${entry.command}; issue ${entry.issue})")
    }
    val results = readResults()
    val problems = knownRed.findProblems(results, classesWithoutReport(), ::exists)
    problems.forEach(::println)
    println(
        "${results.passed.size} tests passed, ${results.failed.size} failed, ${knownRed.entries.size} known red, ${problems.size} problems",
    )
    exitProcess(if (problems.isEmpty()) 0 else 1)
}

/** Returns whether the script, or the source file of the program, exists and is not part of the default run. */
private fun exists(subject: KnownRedSubject): Boolean =
    when (subject) {
        is KnownRedSubject.DefaultTest -> true
        is KnownRedSubject.Script -> File(subject.path).isFile
        is KnownRedSubject.Program -> sourceOf(subject).let { it.isFile && it.readText().contains("fun main(") }
    }

private fun sourceOf(program: KnownRedSubject.Program) =
    File(SOURCES_FOLDER, program.mainClass.removeSuffix("Kt").replace('.', '/') + ".kt")

/** Returns the test classes, found by source files named `*Test.kt`, for which surefire wrote no report. */
private fun classesWithoutReport(): List<String> =
    SOURCES_FOLDER
        .walk()
        .filter { it.name.endsWith("Test.kt") }
        .map { classNameOf(it) }
        .filter { !File(REPORTS_FOLDER, "TEST-$it.xml").exists() }
        .toList()

/** Returns the qualified name of the class of a source file. */
private fun classNameOf(source: File): String {
    val path = source.relativeTo(SOURCES_FOLDER).path.removeSuffix(".kt")
    return path.replace('/', '.')
}

/** Reads the results of all tests from the surefire reports. */
private fun readResults(): TestResults {
    val reports = REPORTS_FOLDER.listFiles { file -> file.name.startsWith("TEST-") }.orEmpty()
    val (failed, passed) = reports.flatMap(::testCases).partition(::hasFailed)
    return TestResults(passed.mapTo(HashSet(), ::testId), failed.mapTo(HashSet(), ::testId))
}

private fun testCases(report: File): List<Element> {
    val document = DocumentBuilderFactory.newInstance().newDocumentBuilder().parse(report)
    val nodes = document.getElementsByTagName("testcase")
    return (0 until nodes.length).map { nodes.item(it) as Element }
}

private fun hasFailed(testCase: Element) = listOf("failure", "error").any { testCase.getElementsByTagName(it).length > 0 }

private fun testId(testCase: Element) = TestId(testCase.getAttribute("classname"), testCase.getAttribute("name"))
