package lichenstage.common

import org.apache.commons.cli.CommandLine
import org.apache.commons.cli.DefaultParser
import org.apache.commons.cli.Option
import org.apache.commons.cli.Options
import org.apache.commons.cli.ParseException
import org.apache.commons.cli.help.HelpFormatter
import org.apache.commons.cli.help.TextHelpAppendable

/** Arguments that can't be used; the message says why. */
class InvalidArgumentsException(
    why: String?,
    cause: Exception? = null,
) : Exception(why, cause)

/** The options of one command: how they are read, and the help that names them. */
class CommandLineParser(
    private val syntax: String,
    private val description: String,
    private val mostOperands: Int = 0,
) {
    private val options = Options()

    /** Adds a switch. */
    fun flag(
        name: String,
        description: String,
        short: String? = null,
    ) = apply { options.addOption(Option(short, name, false, description)) }

    /** Adds an option with a value that the help calls [valueName]. */
    fun value(
        name: String,
        valueName: String,
        description: String,
    ) = apply { options.addOption(Option(null, name, true, description).apply { argName = valueName }) }

    /** Reads [args]; throws [InvalidArgumentsException] where one is unknown, repeated, left over or lacks its value. */
    fun parse(args: List<String>): ParsedArguments {
        val line =
            try {
                DefaultParser
                    .builder()
                    .setAllowPartialMatching(false)
                    .get()
                    .parse(options, args.toTypedArray())
            } catch (e: ParseException) {
                throw InvalidArgumentsException(e.message, e)
            }
        line.options
            .groupingBy { it.longOpt }
            .eachCount()
            .filterValues { it > 1 }
            .keys
            .firstOrNull()
            ?.let { throw InvalidArgumentsException("--$it should be given only once") }
        line.argList
            .drop(mostOperands)
            .firstOrNull()
            ?.let { throw InvalidArgumentsException("unexpected argument: $it") }
        return ParsedArguments(line)
    }

    /** How the command is used, with all its options. */
    fun help(): String {
        val text = StringBuilder()
        HelpFormatter
            .builder()
            .setHelpAppendable(TextHelpAppendable(text))
            .setShowSince(false)
            .get()
            .printHelp(syntax, description, options, "", false)
        return text.toString().trim()
    }
}

/** Arguments that were read. */
class ParsedArguments(
    private val line: CommandLine,
) {
    /** What is no option, in its order. */
    val operands: List<String> get() = line.argList

    /** The option was given. */
    fun has(name: String): Boolean = line.hasOption(name)

    /** The option's value, or null. */
    fun text(name: String): String? = line.getOptionValue(name)

    /** The option's value as a whole number, or null. */
    fun whole(name: String): Long? {
        val text = text(name) ?: return null
        return text.toLongOrNull() ?: throw InvalidArgumentsException("--$name: a whole number is needed, found $text")
    }
}
