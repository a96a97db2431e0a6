package lichenstage.common

import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

/** Guards against invalid arguments that are silently ignored. */
class CommandLineParserTest {
    private val parser =
        CommandLineParser("tool [NAME]", "Does something.", maxOperands = 1)
            .value("config", "FILE", "A file.")
            .value("count", "COUNT", "A number.")
            .flag("check", "Only looks.")
            .flag("help", "Shows this.", short = "h")

    private fun parse(vararg args: String) = parser.parse(args.toList())

    @Example
    fun `options and operands are parsed in any order`() {
        val arguments = parse("--check", "here", "--config", "a.json", "--count=7")
        assertTrue(arguments.has("check") && !arguments.has("help"), "--check was given and --help was not")
        assertEquals("a.json", arguments.text("config"), "${arguments.text("config")}")
        assertEquals(7L, arguments.wholeNumber("count"), "${arguments.wholeNumber("count")}")
        assertEquals(listOf("here"), arguments.operands, "${arguments.operands}")
        assertTrue(parse("-h").has("help"), "the short name of --help")
    }

    @Example
    fun `invalid arguments are rejected`() {
        val invalidArguments =
            listOf(
                listOf("--unknown"),
                listOf("--conf", "a.json"),
                listOf("--config"),
                listOf("--config", "a", "--config", "b"),
                listOf("here", "there"),
            )
        for (args in invalidArguments) assertTrue(isRejected { parser.parse(args) }, "$args")
        assertTrue(isRejected { parse("--count", "many").wholeNumber("count") }, "a count that is not a number")
    }

    @Example
    fun `the help text contains every option`() {
        val help = parser.help()
        for (option in listOf("tool [NAME]", "--config", "FILE", "--count", "--check", "-h", "Only looks.")) {
            assertTrue(option in help, help)
        }
    }

    private fun isRejected(parse: () -> Any?): Boolean =
        try {
            parse()
            false
        } catch (_: InvalidArgumentsException) {
            true
        }
}
