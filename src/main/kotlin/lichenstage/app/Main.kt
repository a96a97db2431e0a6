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

/** Entry point: `drain ...` runs the drain command, anything else starts a controller or answers `--help` and the like. */
fun main(args: Array<String>) {
    // First of all: reading the settings creates the first logger, and the level is read only then.
    configureLogging(System.getenv("LOG_LEVEL"))
    exitUnlessServing(if (args.firstOrNull() == DRAIN_COMMAND) runDrainCommand(args.drop(1)) else runController(args))
}

private fun runDrainCommand(args: List<String>) = DrainCommand({ readFile(it, Settings::parse) }, ::println, System.err::println).run(args)

/** The process keeps running on the threads of the service; every other value is an exit status. */
private const val SERVING = -1

/** Name of the command that manages drains. */
private const val DRAIN_COMMAND = "drain"

/** Option with which the build starts the service once to record its class-data archive. */
private const val WARM_UP_OPTION = "warm-up"

/** Exit status for invalid arguments or settings. */
private const val EXIT_USAGE_ERROR = 2

private fun exitUnlessServing(status: Int) {
    if (status != SERVING) exitProcess(status)
}

private fun createCommandLineParser() =
    CommandLineParser(
        "lichenstage --config FILE",
        "A cluster scheduler: one controller of a deployment. For drains: lichenstage drain --help",
    ).value("config", "FILE", "The platform's settings file (JSON).")
        .value("operator", "FILE", "The operators' own settings (HCL).")
        .flag("check", "Check the settings and stop.")
        .flag(WARM_UP_OPTION, "Start on loopback with made-up settings and stop; the build makes the class archive of it.")
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
    val path = arguments.text("config") ?: throw InvalidArgumentsException("--config FILE is needed")
    return startController(path, arguments.text("operator"), checkOnly = arguments.has("check"))
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
    checkOnly: Boolean,
): Int {
    val settings: Settings
    val operator: OperatorSettings
    try {
        settings = readFile(settingsPath, Settings::parse)
        operator =
            operatorPath?.let { readFile(it) { text -> OperatorSettings.parse(text).apply { validateAgainst(settings) } } }
                ?: OperatorSettings()
    } catch (e: InvalidSettingsException) {
        return reportUsageError(e.message)
    }
    if (checkOnly) return 0
    serve(settings, operator)
    return SERVING
}

/** Reads and parses a file; every [InvalidSettingsException] names it. */
private fun <T> readFile(
    path: String,
    parse: (String) -> T,
): T =
    try {
        parse(File(path).readText())
    } catch (e: IOException) {
        throw InvalidSettingsException("$path: can't be read: ${e.message}", e)
    } catch (e: InvalidSettingsException) {
        throw InvalidSettingsException("$path: ${e.message}", e)
    }
