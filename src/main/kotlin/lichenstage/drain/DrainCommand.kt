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

/** `lichenstage drain start|status|pause|resume|cancel`. */
class DrainCommand(
    private val readSettings: (String) -> Settings,
    private val print: (String) -> Unit,
    private val printError: (String) -> Unit,
) {
    private val commandLine =
        CommandLineParser(
            "lichenstage drain start|status|pause|resume|cancel [NAME]",
            "Empties machines in steps, within the disruption budgets of the teams.",
            maxOperands = 2,
        ).value("config", "FILE", "The platform's settings file (JSON) of any controller.")
            .value("machine", "NAMES", "Machines by name, separated by commas.")
            .value("type", "TYPE", "Machines of this type.")
            .value("zone", "ZONE", "Machines of this zone.")
            .flag("spot", "Cheap machines.")
            .flag("ordinary", "Ordinary machines.")
            .value("hired-up-to", "NAME", "Machines that were hired no later than this one.")
            .flag("all", "All machines, where nothing else selects.")
            .flag("replace", "Each is followed by a fresh one.")
            .value("at-most", "COUNT", "Machines at once (1).")
            .value("deadline-s", "SECONDS", "Seconds from now; it is only reported whether it can be kept.")
            .flag("dry-run", "Show what would be done, write nothing.")
            .flag("json", "Print JSON.")
            .flag("help", "Show this help.", short = "h")

    /** What is asked for, checked as far as that goes without the state service. */
    private class Arguments(
        val settings: Settings,
        val subcommand: String,
        val name: String?,
        val parsed: ParsedArguments,
    )

    /** The exit status: 2 where something can't be done as it was asked, 1 where the state service does not answer. */
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
        if (subcommand !in SUBCOMMANDS) throw InvalidArgumentsException("expected ${SUBCOMMANDS.joinToString()}, was \"$subcommand\"")
        if (name == null && subcommand != STATUS) throw InvalidArgumentsException("the drain's name is needed")
        if (subcommand == START && !hasSelection(parsed)) throw InvalidArgumentsException("machines are to be selected, or --all")
        val config = parsed.text("config") ?: throw InvalidArgumentsException("--config FILE is needed")
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
                    val state =
                        KeyValueStoreClient(
                            vertx,
                            settings.stateAddress,
                            Clock.steady,
                            settings.controllerCount,
                            settings.stateRps,
                            settings.stateWriteRps,
                        ) { STATE_WRITE_SHARE }
                    val operations = DrainOperations(state, state::scan, DrainRecordCodec(settings.maxValueBytes), settings, ::timeOfDayUs)
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
        val spot = if (parsed.has("spot")) true else false.takeIf { parsed.has("ordinary") }
        val names = parsed.text("machine")?.split(',').orEmpty()
        val selection =
            DrainSelection(
                names.filter { it.isNotEmpty() }.toSet(),
                parsed.text("type"),
                parsed.text("zone"),
                spot,
                parsed.text("hired-up-to"),
            )
        val deadlineS = parsed.wholeNumber("deadline-s")
        return DrainRequest(
            name,
            selection,
            replace = parsed.has("replace"),
            maxConcurrent = maxConcurrent(parsed),
            deadlineUs = deadlineS?.let { timeOfDayUs() + it * SECOND },
            isDryRun = parsed.has("dry-run"),
        )
    }

    private fun maxConcurrent(parsed: ParsedArguments): Int {
        val machines = parsed.wholeNumber("at-most") ?: 1
        if (machines > Int.MAX_VALUE) throw InvalidArgumentsException("--at-most: found $machines, too large")
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
                printError("lichenstage drain: the state service does not answer, or the record has changed meanwhile; ask again")
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

        /** The part of the state service's changes that the command may use: leases and users come first. */
        const val STATE_WRITE_SHARE = 0.1
    }
}
