package lichenstage.app

import io.vertx.core.VertxOptions
import io.vertx.core.file.FileSystemOptions
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import lichenstage.drain.DrainCommand
import picocli.CommandLine
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Model.OptionSpec
import java.io.File
import java.io.IOException
import kotlin.system.exitProcess

/** The command line. */
fun main(args: Array<String>) {
    // Before all else: reading the settings makes the first logger, and later levels would not be heard.
    logTo(System.getenv("LOG_LEVEL"))
    exitUnlessServing(if (args.firstOrNull() == DRAIN) drain(args.drop(1)) else run(args))
}

private fun drain(args: List<String>) = DrainCommand({ readFile(it, Settings::parse) }, ::println, System.err::println).run(args)

/** 0 means that the service runs on in its own threads. */
private const val SERVING = -1

/** The command for drains, beside the service. */
private const val DRAIN = "drain"

/** Arguments or settings that can't be used. */
private const val BAD_ARGUMENTS = 2

private fun exitUnlessServing(status: Int) {
    if (status != SERVING) exitProcess(status)
}

private fun commandLine(): CommandLine {
    // Options are built in code: annotations would be read by reflection at every start, and starting is charged.
    val spec = CommandSpec.create().name("lichenstage")
    spec.usageMessage().description("A cluster scheduler: one controller of a deployment.")
    spec.usageMessage().footer("Machines are drained by: lichenstage drain (see its --help).")
    spec.version("lichenstage ${Settings::class.java.`package`.implementationVersion ?: "in development"}")

    fun option(
        description: String,
        vararg names: String,
    ) = OptionSpec.builder(names).description(description)
    spec.addOption(
        option("The platform's settings file (JSON).", "--config").type(String::class.java).paramLabel("FILE").build(),
    )
    spec.addOption(
        option("The operators' own settings (HCL).", "--operator").type(String::class.java).paramLabel("FILE").build(),
    )
    spec.addOption(option("Check the settings and stop.", "--check").type(Boolean::class.java).build())
    spec.addOption(
        option("Start on loopback with made-up settings and stop: builds the class archive.", "--warm-up")
            .type(Boolean::class.java)
            .hidden(true)
            .build(),
    )
    spec.addOption(option("Show this help.", "-h", "--help").usageHelp(true).build())
    spec.addOption(option("Show the version.", "-V", "--version").versionHelp(true).build())
    return CommandLine(spec)
}

private fun run(args: Array<String>): Int {
    val line = commandLine()
    val parsed =
        try {
            @Suppress("SpreadOperator") // Once, at the start.
            line.parseArgs(*args)
        } catch (e: CommandLine.ParameterException) {
            return refused(e.message, line)
        }
    if (CommandLine.printHelpIfRequested(parsed)) return 0
    if (parsed.hasMatchedOption("--warm-up")) return warmUp()
    val path = parsed.matchedOptionValue<String?>("--config", null) ?: return refused("--config FILE is needed", line)
    val operatorPath = parsed.matchedOptionValue<String?>("--operator", null)
    return start(path, operatorPath, checkOnly = parsed.hasMatchedOption("--check"))
}

private fun refused(
    why: String?,
    line: CommandLine? = null,
): Int {
    System.err.println("lichenstage: $why")
    line?.usage(System.err)
    return BAD_ARGUMENTS
}

private fun start(
    settingsPath: String,
    operatorPath: String?,
    checkOnly: Boolean,
): Int {
    val settings: Settings
    val operator: Operator
    try {
        settings = readFile(settingsPath, Settings::parse)
        operator = if (operatorPath == null) Operator() else readFile(operatorPath) { Operator.parse(it).apply { check(settings) } }
    } catch (e: SettingsError) {
        return refused(e.message)
    }
    if (checkOnly) return 0
    serve(settings, operator)
    return SERVING
}

/** Complaints name the file. */
private fun <T> readFile(
    path: String,
    parse: (String) -> T,
): T =
    try {
        parse(File(path).readText())
    } catch (e: IOException) {
        throw SettingsError("$path: can't be read: ${e.message}", e)
    } catch (e: SettingsError) {
        throw SettingsError("$path: ${e.message}", e)
    }

/** Starts the service on its one event loop. */
fun serve(
    settings: Settings,
    operator: Operator = Operator(),
) {
    // Everything is addressed by numbers: no resolver threads, no file cache.
    System.setProperty("vertx.disableDnsResolver", "true")
    System.setProperty("vertx.disableFileCaching", "true")
    System.setProperty("vertx.disableFileCPResolving", "true")
    System.setProperty("io.netty.eventLoopThreads", "1")
    System.setProperty("io.netty.machineId", "00:00:00:00:00:00:00:01")
    System.setProperty("io.netty.processId", "1")
    System.setProperty("io.netty.allocator.type", "unpooled")
    System.setProperty("io.netty.noPreferDirect", "true")
    val options =
        VertxOptions()
            .setEventLoopPoolSize(1)
            .setWorkerPoolSize(1)
            .setInternalBlockingPoolSize(1)
            .setBlockedThreadCheckInterval(3_600_000)
            .setFileSystemOptions(FileSystemOptions().setFileCachingEnabled(false).setClassPathResolvingEnabled(false))
    val vertx = batchingVertx(options)
    val context = vertx.getOrCreateContext()
    context.runOnContext {
        val failed = CoroutineExceptionHandler { _, e -> exitOnFailure("a coroutine failed", e) }
        Controller(vertx, settings, operator, CoroutineScope(context.dispatcher() + SupervisorJob() + failed)).start()
    }
}

private fun logTo(level: String?) {
    val known = level?.lowercase()?.takeIf { it in setOf("error", "warn", "info", "debug") } ?: "info"
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", known)
    System.setProperty("org.slf4j.simpleLogger.log.io.netty", "error")
    System.setProperty("org.slf4j.simpleLogger.log.io.vertx", "error")
    System.setProperty("org.slf4j.simpleLogger.log.io.micrometer", "error")
    // Connections that are reset, and requests that are given up, are told by what they were for; hundreds come with each cut.
    System.setProperty("org.slf4j.simpleLogger.log.io.vertx.core.net.impl.ConnectionBase", "off")
    System.setProperty("org.slf4j.simpleLogger.log.io.vertx.core.http.impl.HttpClientRequestImpl", "off")
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false")
    System.setProperty("org.slf4j.simpleLogger.showDateTime", "false")
}
