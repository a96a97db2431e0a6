package lichenstage.common

import org.apache.commons.cli.CommandLine
import org.apache.commons.cli.DefaultParser
import org.apache.commons.cli.Option
import org.apache.commons.cli.Options
import org.apache.commons.cli.ParseException
import org.apache.commons.cli.help.HelpFormatter
import org.apache.commons.cli.help.TextHelpAppendable

/** Signals invalid arguments. The message names the argument and what is expected. */
class InvalidArgumentsException(
    message: String?,
    cause: Exception? = null,
) : Exception(message, cause)

/** The command-line parser of one command. It holds the defined options, parses arguments and renders the help text. */
class CommandLineParser(
    private val syntax: String,
    private val description: String,
    private val maxOperands: Int = 0,
) {
    private val options = Options()

    /** Adds an option that takes no value. */
    fun flag(
        name: String,
        description: String,
        short: String? = null,
    ) = apply { options.addOption(Option(short, name, false, description)) }

    /** Adds an option that takes a value. The help text shows the value as [valueName]. */
    fun value(
        name: String,
        valueName: String,
        description: String,
    ) = apply { options.addOption(Option(null, name, true, description).apply { argName = valueName }) }

    /**
     * Parses [args]. Throws [InvalidArgumentsException] for an option that is unknown, repeated or lacks its value, or for an extra
     * operand.
     */
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
            ?.let { throw InvalidArgumentsException("--$it: must be given at most once, was repeated") }
        line.argList
            .drop(maxOperands)
            .firstOrNull()
            ?.let { throw InvalidArgumentsException("arguments: must have at most $maxOperands operands, found extra operand $it") }
        return ParsedArguments(line)
    }

    /** Returns the help text: the usage line, the description and all options. */
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

/** The parsed arguments of a command. */
class ParsedArguments(
    private val line: CommandLine,
) {
    /** The operands: the arguments that are not options, in order. */
    val operands: List<String> get() = line.argList

    /** Returns whether the option was given. */
    fun has(name: String): Boolean = line.hasOption(name)

    /** Returns the value of the option; null if the option was not given. */
    fun text(name: String): String? = line.getOptionValue(name)

    /** Returns the value of the option; null if the option was not given. Throws [InvalidArgumentsException] if it is no whole number. */
    fun wholeNumber(name: String): Long? {
        val text = text(name) ?: return null
        return text.toLongOrNull() ?: throw InvalidArgumentsException("--$name: must be a whole number, was $text")
    }
}
