package lichenstage.app

import lichenstage.common.CommandLineParser
import lichenstage.common.InvalidArgumentsException
import lichenstage.common.ParsedArguments
import lichenstage.config.InvalidSettingsException
import lichenstage.config.Settings
import lichenstage.drain.DrainCommand
import java.io.File
import java.io.IOException
import kotlin.system.exitProcess

/** The entry point. `drain ...` runs the drain command. All other arguments start a controller, or are options such as `--help`. */
fun main(args: Array<String>) {
    // Must come first: parsing the settings creates the first logger, which reads the log level.
    configureLogging(System.getenv("LOG_LEVEL"))
    exitUnlessServing(if (args.firstOrNull() == DRAIN_COMMAND) runDrainCommand(args.drop(1)) else runController(args))
}

private fun runDrainCommand(args: List<String>) = DrainCommand({ readFile(it, Settings::parse) }, ::println, System.err::println).run(args)

/** The result of [runController] if a controller was started and the process must not exit. Every other result is an exit status. */
private const val SERVING = -1

/** The name of the command that manages drains. */
private const val DRAIN_COMMAND = "drain"

/** The option with which the build starts the service once to record its class-data archive. */
private const val WARM_UP_OPTION = "warm-up"

/** The exit status for invalid arguments or settings. */
private const val EXIT_USAGE_ERROR = 2

private fun exitUnlessServing(status: Int) {
    if (status != SERVING) exitProcess(status)
}

private fun createCommandLineParser() =
    CommandLineParser(
        "lichenstage --config FILE",
        "Runs one controller of a cluster scheduler. For drains see: lichenstage drain --help",
    ).value("config", "FILE", "The settings file of the platform (JSON).")
        .value("operator", "FILE", "The settings file of the operators (HCL).")
        .flag("check", "Check the settings and exit.")
        .flag(WARM_UP_OPTION, "Start on loopback with generated settings and exit. The build records the class-data archive from this.")
        .flag("help", "Show this help.", short = "h")
        .flag("version", "Show the version.", short = "V")

private fun runController(args: Array<String>): Int {
    val parser = createCommandLineParser()
    return try {
        runWithArguments(parser.parse(args.toList()), parser)
    } catch (e: InvalidArgumentsException) {
        reportUsageError(e.message, parser)
    }
}

private fun runWithArguments(
    arguments: ParsedArguments,
    parser: CommandLineParser,
): Int {
    if (arguments.has("help")) {
        println(parser.help())
        return 0
    }
    if (arguments.has("version")) {
        println("lichenstage ${Settings::class.java.`package`.implementationVersion ?: "in development"}")
        return 0
    }
    if (arguments.has(WARM_UP_OPTION)) return warmUp()
    val path = arguments.text("config") ?: throw InvalidArgumentsException("--config: must be the path of a settings file, was missing")
    return startController(path, arguments.text("operator"), isCheckOnly = arguments.has("check"))
}

private fun reportUsageError(
    message: String?,
    parser: CommandLineParser? = null,
): Int {
    System.err.println("lichenstage: $message")
    parser?.let { System.err.println(it.help()) }
    return EXIT_USAGE_ERROR
}

private fun startController(
    settingsPath: String,
    operatorPath: String?,
    isCheckOnly: Boolean,
): Int {
    val settings: Settings
    val operatorSettings: OperatorSettings
    try {
        settings = readFile(settingsPath, Settings::parse)
        operatorSettings =
            operatorPath?.let { readFile(it) { text -> OperatorSettings.parse(text).apply { validateAgainst(settings) } } }
                ?: OperatorSettings()
    } catch (e: InvalidSettingsException) {
        return reportUsageError(e.message)
    }
    if (isCheckOnly) return 0
    serve(settings, operatorSettings)
    return SERVING
}

/** Reads and parses a file. Throws [InvalidSettingsException], whose message starts with the file's path, if either fails. */
private fun <T> readFile(
    path: String,
    parse: (String) -> T,
): T =
    try {
        parse(File(path).readText())
    } catch (e: IOException) {
        throw InvalidSettingsException("$path: can't read the file: ${e.message}", e)
    } catch (e: InvalidSettingsException) {
        throw InvalidSettingsException("$path: ${e.message}", e)
    }
