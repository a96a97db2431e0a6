package lichenstage.ci

/** The identity of a test: its class and its name as in the surefire reports. */
data class TestId(
    val className: String,
    val name: String,
) {
    override fun toString() = "$className#$name"
}

/** The results of a test run. A test is in both sets if the reports contain it with both results. */
data class TestResults(
    val passed: Set<TestId>,
    val failed: Set<TestId>,
)

/** What fails, as the first field of a line of KNOWN-RED.txt names it. */
sealed interface KnownRedSubject {
    /** A test of the default run, `CLASS#TEST`. It must fail there. */
    data class DefaultTest(
        val id: TestId,
    ) : KnownRedSubject {
        override fun toString() = id.toString()
    }

    /** A script of the repository that is not part of the default run, named by its path: `FOLDER/.../NAME.sh`. */
    data class Script(
        val path: String,
    ) : KnownRedSubject {
        override fun toString() = path
    }

    /** A program among the test classes that is not part of the default run, named by its main class: `PACKAGE.NAMEKt`. */
    data class Program(
        val mainClass: String,
    ) : KnownRedSubject {
        override fun toString() = mainClass
    }

    companion object {
        private val SCRIPT = Regex("""[\w./-]+/[\w.-]+\.sh""")
        private val PROGRAM = Regex("""\w+(\.\w+)*\.\w+Kt""")

        /** Parses the first field of a line. Returns null if it has none of the forms. */
        fun parse(text: String): KnownRedSubject? {
            val test = text.split('#')
            return when {
                test.size == 2 && test.none { it.isEmpty() } -> DefaultTest(TestId(test[0], test[1]))
                SCRIPT.matches(text) -> Script(text)
                PROGRAM.matches(text) -> Program(text)
                else -> null
            }
        }
    }
}

/** One line of KNOWN-RED.txt: a test, script or long run that fails because of a real fault that is not fixed yet. */
data class KnownRedEntry(
    val subject: KnownRedSubject,
    /** The command and seed that reproduce the failure. */
    val command: String,
    /** The observed failure, in a few words. */
    val observed: String,
    /** The open issue for the fault. */
    val issue: String,
)

/**
 * The parsed KNOWN-RED.txt: lines of the form [ENTRY_FORMAT], of which at most [MAX_ENTRIES] name tests of the default run.
 *
 * The first field names a test of the default run (`CLASS#TEST`), which must fail there, or something that the default run does not
 * contain and CI only prints: a script of the repository (`review/3/run.sh`) or the main class of a long run
 * (`lichenstage.world.SeedSweepKt`), whose arguments are in the second field. Whatever the field names must exist.
 */
class KnownRed private constructor(
    val entries: List<KnownRedEntry>,
    private val malformedLines: List<String>,
) {
    /** The entries that name something outside of the default run. */
    val entriesNotRun get() = entries.filter { it.subject !is KnownRedSubject.DefaultTest }

    /**
     * Returns the problems of a test run, one line each, or an empty list if exactly the listed tests failed. The test classes in
     * [classesWithoutReport] have no report because the process that ran them ended early.
     *
     * @param exists returns whether a script or program exists
     */
    fun findProblems(
        results: TestResults,
        classesWithoutReport: Collection<String>,
        exists: (KnownRedSubject) -> Boolean,
    ): List<String> {
        val listedTests = entries.mapNotNull { (it.subject as? KnownRedSubject.DefaultTest)?.id }
        val problems = ArrayList<String>()
        malformedLines.mapTo(problems) { "KNOWN-RED.txt: line must be of the form $ENTRY_FORMAT, was: $it" }
        if (listedTests.size + malformedLines.size >
            MAX_ENTRIES
        ) {
            problems += "KNOWN-RED.txt: at most $MAX_ENTRIES lines may name tests of CI"
        }
        entriesNotRun.filter { !exists(it.subject) }.mapTo(problems) { "KNOWN-RED.txt: does not exist: ${it.subject}" }
        listedTests.filter { it !in results.passed && it !in results.failed }.mapTo(problems) { "KNOWN-RED.txt: listed test not run: $it" }
        listedTests.filter { it in results.passed && it !in results.failed }.mapTo(problems) { "KNOWN-RED.txt: listed test passed: $it" }
        results.failed.filter { it !in listedTests }.mapTo(problems) { "failed: $it" }
        classesWithoutReport.mapTo(problems) { "did not run: $it" }
        return problems
    }

    companion object {
        /** The maximum number of lines that name tests of the default run. */
        const val MAX_ENTRIES = 3

        /** The form of a line of the file. */
        const val ENTRY_FORMAT = "CLASS#TEST, SCRIPT or MAIN CLASS | command and seed | what was seen | issue"
        private const val FIELD_COUNT = 4

        /** Parses the content of the file and ignores empty lines. */
        fun parse(text: String): KnownRed {
            val lines = text.lines().map { it.trim() }.filter { it.isNotEmpty() }
            val parsed = lines.map { it to parseEntry(it) }
            return KnownRed(parsed.mapNotNull { it.second }, parsed.filter { it.second == null }.map { it.first })
        }

        /** Parses one line of the file. Returns null if it is malformed. */
        private fun parseEntry(line: String): KnownRedEntry? {
            val fields = line.split(" | ").map { it.trim() }
            if (fields.size != FIELD_COUNT || fields.any { it.isEmpty() }) return null
            val subject = KnownRedSubject.parse(fields.first()) ?: return null
            return KnownRedEntry(subject, fields[1], fields[2], fields[3])
        }
    }
}
