package lichenstage.ci

import org.w3c.dom.Element
import java.io.File
import javax.xml.parsers.DocumentBuilderFactory
import kotlin.system.exitProcess

private const val KNOWN_RED = "KNOWN-RED.txt"
private val REPORTS = File("target/surefire-reports")
private val SOURCES = File("src/test/kotlin")

/**
 * Checks the test run whose reports are in `target/surefire-reports` against KNOWN-RED.txt: exactly the listed tests must have failed.
 * Prints the listed tests and all problems; exits with status 1 if there are any problems.
 */
fun main() {
    val file = File(KNOWN_RED)
    val knownRed = KnownRed.parse(if (file.exists()) file.readText() else "")
    knownRed.entries.forEach { println("known red: ${it.test}: ${it.observed} (${it.command}; issue ${it.issue})") }
    val results = readResults()
    val problems = knownRed.verdict(results, classesWithoutReport())
    problems.forEach(::println)
    println(
        "${results.passed.size} tests passed, ${results.failed.size} failed, ${knownRed.entries.size} known red, ${problems.size} problems",
    )
    exitProcess(if (problems.isEmpty()) 0 else 1)
}

/** Test classes (source files named `*Test.kt`) for which surefire wrote no report. */
private fun classesWithoutReport(): List<String> =
    SOURCES
        .walk()
        .filter { it.name.endsWith("Test.kt") }
        .map { classOf(it) }
        .filter { !File(REPORTS, "TEST-$it.xml").exists() }
        .toList()

private fun classOf(source: File): String {
    val path = source.relativeTo(SOURCES).path.removeSuffix(".kt")
    return path.replace('/', '.')
}

private fun readResults(): TestResults {
    val reports = REPORTS.listFiles { file -> file.name.startsWith("TEST-") }.orEmpty()
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
