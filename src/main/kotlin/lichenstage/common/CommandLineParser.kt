package lichenstage.common

import org.apache.commons.cli.CommandLine
import org.apache.commons.cli.DefaultParser
import org.apache.commons.cli.Option
import org.apache.commons.cli.Options
import org.apache.commons.cli.ParseException
import org.apache.commons.cli.help.HelpFormatter
import org.apache.commons.cli.help.TextHelpAppendable

/** Arguments that are not valid; the message says why. */
class InvalidArgumentsException(
    why: String?,
    cause: Exception? = null,
) : Exception(why, cause)

/** Defines the options of one command, parses arguments and renders the help text. */
class CommandLineParser(
    private val syntax: String,
    private val description: String,
    private val maxOperands: Int = 0,
) {
    private val options = Options()

    /** Adds an option without a value. */
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

    /** Parses [args]; throws [InvalidArgumentsException] if one is unknown, repeated, superfluous or lacks its value. */
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
            .drop(maxOperands)
            .firstOrNull()
            ?.let { throw InvalidArgumentsException("unexpected argument: $it") }
        return ParsedArguments(line)
    }

    /** The usage line, the description and all options. */
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

/** Parsed arguments of a command. */
class ParsedArguments(
    private val line: CommandLine,
) {
    /** The arguments that are not options, in order. */
    val operands: List<String> get() = line.argList

    /** Whether the option was given. */
    fun has(name: String): Boolean = line.hasOption(name)

    /** The option's value; null if it was not given. */
    fun text(name: String): String? = line.getOptionValue(name)

    /** The option's value as a whole number; null if it was not given. Throws [InvalidArgumentsException] if it is no number. */
    fun wholeNumber(name: String): Long? {
        val text = text(name) ?: return null
        return text.toLongOrNull() ?: throw InvalidArgumentsException("--$name: a whole number is needed, found $text")
    }
}
