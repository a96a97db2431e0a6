package lichenstage.app

import net.jqwik.api.Example
import org.junit.platform.commons.util.Preconditions.condition

class CommandLineParserTest {
    private val parser =
        CommandLineParser("tool [NAME]", "Does something.", mostOperands = 1)
            .value("config", "FILE", "A file.")
            .value("count", "COUNT", "A number.")
            .flag("check", "Only looks.")
            .flag("help", "Shows this.", short = "h")

    private fun parse(vararg args: String) = parser.parse(args.toList())

    @Example
    fun `options and operands are read in any order`() {
        val arguments = parse("--check", "here", "--config", "a.json", "--count=7")
        condition(arguments.has("check") && !arguments.has("help"), "only --check was given")
        condition(arguments.text("config") == "a.json", "${arguments.text("config")}")
        condition(arguments.whole("count") == 7L, "${arguments.whole("count")}")
        condition(arguments.operands == listOf("here"), "${arguments.operands}")
        condition(parse("-h").has("help"), "the short name")
    }

    @Example
    fun `what can't be used is refused`() {
        val wrong =
            listOf(
                listOf("--unknown"),
                listOf("--conf", "a.json"),
                listOf("--config"),
                listOf("--config", "a", "--config", "b"),
                listOf("here", "there"),
            )
        for (args in wrong) condition(isRefused { parser.parse(args) }, "$args")
        condition(isRefused { parse("--count", "many").whole("count") }, "a count that is no number")
    }

    @Example
    fun `the help names every option`() {
        val help = parser.help()
        for (option in listOf("tool [NAME]", "--config", "FILE", "--count", "--check", "-h", "Only looks.")) {
            condition(option in help, help)
        }
    }

    private fun isRefused(parse: () -> Any?): Boolean =
        try {
            parse()
            false
        } catch (_: BadArguments) {
            true
        }
}
