package lichenstage.drain

import io.vertx.core.Vertx
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import lichenstage.common.Clock
import lichenstage.common.CommandLineParser
import lichenstage.common.InvalidArgumentsException
import lichenstage.common.ParsedArguments
import lichenstage.common.SECOND
import lichenstage.common.timeOfDayUs
import lichenstage.config.InvalidSettingsException
import lichenstage.config.Settings
import lichenstage.state.KeyValueStoreClient

/** The command line interface for drains: `lichenstage drain start|status|pause|resume|cancel`. */
class DrainCommand(
    private val readSettings: (String) -> Settings,
    private val print: (String) -> Unit,
    private val printError: (String) -> Unit,
) {
    private val commandLine =
        CommandLineParser(
            "lichenstage drain start|status|pause|resume|cancel [NAME]",
            "Drains machines step by step within the disruption budgets of the teams.",
            maxOperands = 2,
        ).value("config", "FILE", "Settings file (JSON) of any controller.")
            .value("machine", "NAMES", "Select machines by name, separated by commas.")
            .value("type", "TYPE", "Select machines of this type.")
            .value("zone", "ZONE", "Select machines in this zone.")
            .flag("spot", "Select spot machines.")
            .flag("ordinary", "Select on-demand machines.")
            .value("hired-up-to", "NAME", "Select machines provisioned no later than this one.")
            .flag("all", "Select all machines. Required if no other option selects machines.")
            .flag("replace", "Replace each machine with a new one before draining it.")
            .value("at-most", "COUNT", "Maximum number of machines drained at once (default 1).")
            .value("deadline-s", "SECONDS", "Deadline in seconds from now. Used only to report whether the drain is late.")
            .flag("dry-run", "Show the steps without writing anything.")
            .flag("json", "Print JSON.")
            .flag("help", "Show this help.", short = "h")

    /** The arguments that have passed all checks that need no state service. */
    private class Arguments(
        val settings: Settings,
        val subcommand: String,
        val name: String?,
        val parsed: ParsedArguments,
    )

    /** Runs the command and returns the exit status: 0 on success, 1 if the state service is unavailable, 2 if the request is invalid. */
    fun run(args: List<String>): Int =
        try {
            val parsed = commandLine.parse(args)
            if (parsed.has("help")) {
                print(commandLine.help())
                0
            } else {
                val arguments = parseArguments(parsed)
                printResult(execute(arguments), parsed.has("json"))
            }
        } catch (e: InvalidArgumentsException) {
            reject("${e.message}")
        }

    private fun parseArguments(parsed: ParsedArguments): Arguments {
        val subcommand = parsed.operands.firstOrNull().orEmpty()
        val name = parsed.operands.getOrNull(1)
        if (subcommand !in SUBCOMMANDS) {
            throw InvalidArgumentsException("subcommand: must be one of ${SUBCOMMANDS.joinToString()}, was \"$subcommand\"")
        }
        if (name == null && subcommand != STATUS) throw InvalidArgumentsException("NAME: must be given for $subcommand")
        if (subcommand == START && !hasSelection(parsed)) throw InvalidArgumentsException("machine selection: must be given, or use --all")
        val config = parsed.text("config") ?: throw InvalidArgumentsException("--config: must be the path of a settings file, was missing")
        return Arguments(loadSettings(config), subcommand, name, parsed)
    }

    private fun loadSettings(path: String): Settings =
        try {
            readSettings(path)
        } catch (e: InvalidSettingsException) {
            throw InvalidArgumentsException(e.message, e)
        }

    private fun hasSelection(parsed: ParsedArguments) = SELECTION_OPTIONS.any { parsed.has(it) }

    private fun reject(reason: String): Int {
        printError("lichenstage drain: $reason")
        return EXIT_INVALID_REQUEST
    }

    private fun execute(arguments: Arguments): DrainCommandResult {
        val vertx = Vertx.vertx()
        val settings = arguments.settings
        val name = arguments.name
        try {
            return runBlocking {
                withContext(vertx.dispatcher()) {
                    val store =
                        KeyValueStoreClient(
                            vertx,
                            settings.stateAddress,
                            Clock.steady,
                            settings.controllerCount,
                            settings.stateRps,
                            settings.stateWriteRps,
                            { STATE_WRITE_SHARE },
                        )
                    val operations = DrainOperations(store, store::scan, DrainRecordCodec(settings.maxValueBytes), settings, ::timeOfDayUs)
                    when (arguments.subcommand) {
                        START -> operations.start(buildRequest(name!!, arguments.parsed))
                        STATUS -> operations.status(name)
                        "pause" -> operations.changeStatus(name!!, DrainStatus.PAUSED)
                        "resume" -> operations.changeStatus(name!!, DrainStatus.RUNNING)
                        else -> operations.changeStatus(name!!, DrainStatus.CANCELLED)
                    }
                }
            }
        } finally {
            vertx.close()
        }
    }

    private fun buildRequest(
        name: String,
        parsed: ParsedArguments,
    ): DrainRequest {
        val isSpot = if (parsed.has("spot")) true else false.takeIf { parsed.has("ordinary") }
        val names = parsed.text("machine")?.split(',').orEmpty()
        val selection =
            DrainSelection(
                names.filter { it.isNotEmpty() }.toSet(),
                parsed.text("type"),
                parsed.text("zone"),
                isSpot,
                parsed.text("hired-up-to"),
            )
        val deadlineS = parsed.wholeNumber("deadline-s")
        return DrainRequest(
            name,
            selection,
            shouldReplace = parsed.has("replace"),
            maxConcurrent = maxConcurrent(parsed),
            deadlineAtUs = deadlineS?.let { timeOfDayUs() + it * SECOND },
            isDryRun = parsed.has("dry-run"),
        )
    }

    private fun maxConcurrent(parsed: ParsedArguments): Int {
        val machines = parsed.wholeNumber("at-most") ?: 1
        if (machines > Int.MAX_VALUE) throw InvalidArgumentsException("--at-most: must be at most 2147483647, was $machines")
        return machines.toInt()
    }

    private fun printResult(
        result: DrainCommandResult,
        asJson: Boolean,
    ): Int {
        when (result) {
            is DrainCommandResult.Status -> {
                if (asJson) {
                    print(JsonArray(result.reports.map { it.toJson() }).encodePrettily())
                } else {
                    print(result.reports.joinToString("\n") { it.toText() }.ifEmpty { "no drains" })
                }
            }

            is DrainCommandResult.DryRun -> {
                val steps = result.machines.chunked(result.request.maxConcurrent).map { step -> JsonArray(step.map { it.name }) }
                print(if (asJson) JsonObject().put("steps", JsonArray(steps)).encodePrettily() else DrainReport.formatDryRun(result))
            }

            is DrainCommandResult.Rejected -> {
                return reject(result.reason)
            }

            DrainCommandResult.Unavailable -> {
                printError("lichenstage drain: state service unavailable or records changed concurrently; retry the command")
                return EXIT_UNAVAILABLE
            }
        }
        return 0
    }

    private companion object {
        const val START = "start"
        const val STATUS = "status"
        val SUBCOMMANDS = listOf(START, STATUS, "pause", "resume", "cancel")
        val SELECTION_OPTIONS = listOf("machine", "type", "zone", "spot", "ordinary", "hired-up-to", "all")
        const val EXIT_INVALID_REQUEST = 2
        const val EXIT_UNAVAILABLE = 1

        /** Fraction of the allowed write rate that the command may use. The rest is left for lease renewals and users' requests. */
        const val STATE_WRITE_SHARE = 0.1
    }
}
