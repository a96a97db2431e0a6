package lichenstage.drain

import io.vertx.core.Vertx
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import lichenstage.app.Clock
import lichenstage.app.SECOND
import lichenstage.app.Settings
import lichenstage.app.SettingsError
import lichenstage.app.timeOfDayUs
import lichenstage.state.StateClient
import picocli.CommandLine
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Model.OptionSpec
import picocli.CommandLine.Model.PositionalParamSpec
import picocli.CommandLine.ParseResult

/** `lichenstage drain start|status|pause|resume|cancel`. */
class DrainCommand(
    private val readSettings: (String) -> Settings,
    private val out: (String) -> Unit,
    private val complain: (String) -> Unit,
) {
    private val line = CommandLine(spec())

    private fun spec(): CommandSpec {
        val spec = CommandSpec.create().name("lichenstage drain")
        spec.usageMessage().description("Empties machines in steps, within the disruption budgets of the teams.")

        fun option(
            name: String,
            type: Class<*>,
            description: String,
        ) = spec.addOption(
            OptionSpec
                .builder(name)
                .type(type)
                .description(description)
                .build(),
        )
        spec.addPositional(
            PositionalParamSpec
                .builder()
                .paramLabel(
                    "start|status|pause|resume|cancel",
                ).index("0")
                .type(String::class.java)
                .required(true)
                .build(),
        )
        spec.addPositional(
            PositionalParamSpec
                .builder()
                .paramLabel("NAME")
                .index("1")
                .arity("0..1")
                .type(String::class.java)
                .build(),
        )
        option("--config", String::class.java, "The platform's settings file (JSON) of any controller.")
        option("--machine", String::class.java, "Machines by name, separated by commas.")
        option("--type", String::class.java, "Machines of this type.")
        option("--zone", String::class.java, "Machines of this zone.")
        option("--spot", Boolean::class.java, "Cheap machines.")
        option("--ordinary", Boolean::class.java, "Ordinary machines.")
        option("--hired-up-to", String::class.java, "Machines that were hired no later than this one.")
        option("--all", Boolean::class.java, "All machines, where nothing else selects.")
        option("--replace", Boolean::class.java, "Each is followed by a fresh one.")
        option("--at-most", Integer::class.java, "Machines at once (1).")
        option("--deadline-s", java.lang.Long::class.java, "Seconds from now; it is only reported whether it can be kept.")
        option("--dry-run", Boolean::class.java, "Show what would be done, write nothing.")
        option("--json", Boolean::class.java, "Print JSON.")
        spec.addOption(OptionSpec.builder("-h", "--help").usageHelp(true).build())
        return spec
    }

    /** Arguments that can't be used. */
    private class BadArguments(
        why: String?,
        cause: Exception? = null,
    ) : Exception(why, cause)

    /** What is asked for, checked as far as that goes without the state service. */
    private class Arguments(
        val settings: Settings,
        val verb: String,
        val name: String?,
        val parsed: ParseResult,
    )

    /** The exit status: 2 where something can't be done as it was asked, 1 where the state service does not answer. */
    fun run(args: List<String>): Int =
        try {
            val parsed = parse(args)
            if (CommandLine.printHelpIfRequested(parsed)) {
                0
            } else {
                val arguments = check(parsed)
                report(answer(arguments), parsed.hasMatchedOption("--json"))
            }
        } catch (e: BadArguments) {
            refused("${e.message}")
        }

    private fun parse(args: List<String>): ParseResult =
        try {
            @Suppress("SpreadOperator") // Once.
            line.parseArgs(*args.toTypedArray())
        } catch (e: CommandLine.ParameterException) {
            throw BadArguments(e.message, e)
        }

    private fun check(parsed: ParseResult): Arguments {
        val verb = parsed.matchedPositionalValue(0, "")
        val name: String? = parsed.matchedPositionalValue(1, null)
        if (verb !in VERBS) throw BadArguments("$verb: one of ${VERBS.joinToString()} is needed")
        if (name == null && verb != STATUS) throw BadArguments("the drain's name is needed")
        if (verb == START && !selects(parsed)) throw BadArguments("machines are to be selected, or --all")
        val config: String = parsed.matchedOptionValue("--config", null) ?: throw BadArguments("--config FILE is needed")
        return Arguments(settings(config), verb, name, parsed)
    }

    private fun settings(path: String): Settings =
        try {
            readSettings(path)
        } catch (e: SettingsError) {
            throw BadArguments(e.message, e)
        }

    private fun selects(parsed: ParseResult) = SELECTING.any { parsed.hasMatchedOption(it) }

    private fun refused(why: String): Int {
        complain("lichenstage drain: $why")
        return REFUSED
    }

    private fun answer(arguments: Arguments): DrainAnswer {
        val vertx = Vertx.vertx()
        val settings = arguments.settings
        val name = arguments.name
        try {
            return runBlocking {
                withContext(vertx.dispatcher()) {
                    val state =
                        StateClient(
                            vertx,
                            settings.state,
                            Clock.steady,
                            settings.count,
                            settings.stateRps,
                            settings.stateWriteRps,
                        ) { SHARE }
                    val operations = DrainOperations(state, state::scan, DrainRecords(settings.valueBytes), settings, ::timeOfDayUs)
                    when (arguments.verb) {
                        START -> operations.start(request(name!!, arguments.parsed))
                        STATUS -> operations.show(name)
                        "pause" -> operations.change(name!!, DrainStatus.PAUSED)
                        "resume" -> operations.change(name!!, DrainStatus.RUNNING)
                        else -> operations.change(name!!, DrainStatus.CANCELLED)
                    }
                }
            }
        } finally {
            vertx.close()
        }
    }

    private fun request(
        name: String,
        parsed: ParseResult,
    ): DrainRequest {
        val spot = if (parsed.hasMatchedOption("--spot")) true else false.takeIf { parsed.hasMatchedOption("--ordinary") }
        val names = parsed.matchedOptionValue<String?>("--machine", null)?.split(',').orEmpty()
        val selection =
            DrainSelection(
                names.filter { it.isNotEmpty() }.toSet(),
                parsed.matchedOptionValue("--type", null),
                parsed.matchedOptionValue("--zone", null),
                spot,
                parsed.matchedOptionValue("--hired-up-to", null),
            )
        val deadlineS: Long? = parsed.matchedOptionValue<Long?>("--deadline-s", null)
        return DrainRequest(
            name,
            selection,
            replace = parsed.hasMatchedOption("--replace"),
            atMost = parsed.matchedOptionValue<Int?>("--at-most", null) ?: 1,
            deadlineUs = deadlineS?.let { timeOfDayUs() + it * SECOND },
            dryRun = parsed.hasMatchedOption("--dry-run"),
        )
    }

    private fun report(
        answer: DrainAnswer,
        asJson: Boolean,
    ): Int {
        when (answer) {
            is DrainAnswer.Shown -> {
                if (asJson) {
                    out(JsonArray(answer.reports.map { it.json() }).encodePrettily())
                } else {
                    out(answer.reports.joinToString("\n") { it.text() }.ifEmpty { "no drains" })
                }
            }

            is DrainAnswer.Planned -> {
                val steps = answer.machines.chunked(answer.request.atMost).map { step -> JsonArray(step.map { it.name }) }
                out(if (asJson) JsonObject().put("steps", JsonArray(steps)).encodePrettily() else DrainReport.planned(answer))
            }

            is DrainAnswer.Refused -> {
                return refused(answer.why)
            }

            DrainAnswer.Unavailable -> {
                complain("lichenstage drain: the state service does not answer, or the record has changed meanwhile; ask again")
                return UNAVAILABLE
            }
        }
        return 0
    }

    private companion object {
        const val START = "start"
        const val STATUS = "status"
        val VERBS = listOf(START, STATUS, "pause", "resume", "cancel")
        val SELECTING = listOf("--machine", "--type", "--zone", "--spot", "--ordinary", "--hired-up-to", "--all")
        const val REFUSED = 2
        const val UNAVAILABLE = 1

        /** The part of the state service's changes that the command may use: leases and users come first. */
        const val SHARE = 0.1
    }
}
