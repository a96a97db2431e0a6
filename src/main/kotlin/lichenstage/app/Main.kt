package lichenstage.app

import io.vertx.core.VertxOptions
import io.vertx.core.file.FileSystemOptions
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import lichenstage.common.CommandLineParser
import lichenstage.common.InvalidArgumentsException
import lichenstage.common.ParsedArguments
import lichenstage.common.exitOnFailure
import lichenstage.config.InvalidSettingsException
import lichenstage.config.Settings
import lichenstage.drain.DrainCommand
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

private const val WARM_UP = "warm-up"

/** Arguments or settings that can't be used. */
private const val BAD_ARGUMENTS = 2

/** Set by whoever wants the time before each line of the log. */
private const val SHOW_TIME = "org.slf4j.simpleLogger.showDateTime"

private fun exitUnlessServing(status: Int) {
    if (status != SERVING) exitProcess(status)
}

private fun commandLine() =
    CommandLineParser(
        "lichenstage --config FILE",
        "A cluster scheduler: one controller of a deployment. For drains: lichenstage drain --help",
    ).value("config", "FILE", "The platform's settings file (JSON).")
        .value("operator", "FILE", "The operators' own settings (HCL).")
        .flag("check", "Check the settings and stop.")
        .flag(WARM_UP, "Start on loopback with made-up settings and stop; the build makes the class archive of it.")
        .flag("help", "Show this help.", short = "h")
        .flag("version", "Show the version.", short = "V")

private fun run(args: Array<String>): Int {
    val commandLine = commandLine()
    return try {
        carryOut(commandLine.parse(args.toList()), commandLine)
    } catch (e: InvalidArgumentsException) {
        refused(e.message, commandLine)
    }
}

private fun carryOut(
    arguments: ParsedArguments,
    commandLine: CommandLineParser,
): Int {
    if (arguments.has("help")) {
        println(commandLine.help())
        return 0
    }
    if (arguments.has("version")) {
        println("lichenstage ${Settings::class.java.`package`.implementationVersion ?: "in development"}")
        return 0
    }
    if (arguments.has(WARM_UP)) return warmUp()
    val path = arguments.text("config") ?: throw InvalidArgumentsException("--config FILE is needed")
    return start(path, arguments.text("operator"), checkOnly = arguments.has("check"))
}

private fun refused(
    why: String?,
    commandLine: CommandLineParser? = null,
): Int {
    System.err.println("lichenstage: $why")
    commandLine?.let { System.err.println(it.help()) }
    return BAD_ARGUMENTS
}

private fun start(
    settingsPath: String,
    operatorPath: String?,
    checkOnly: Boolean,
): Int {
    val settings: Settings
    val operator: OperatorSettings
    try {
        settings = readFile(settingsPath, Settings::parse)
        operator =
            if (operatorPath ==
                null
            ) {
                OperatorSettings()
            } else {
                readFile(operatorPath) { OperatorSettings.parse(it).apply { check(settings) } }
            }
    } catch (e: InvalidSettingsException) {
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
        throw InvalidSettingsException("$path: can't be read: ${e.message}", e)
    } catch (e: InvalidSettingsException) {
        throw InvalidSettingsException("$path: ${e.message}", e)
    }

/** Starts the service on its one event loop. */
fun serve(
    settings: Settings,
    operator: OperatorSettings = OperatorSettings(),
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
    // The events of its allocators would start the JVM's flight recorder, a sixth of what a start costs.
    System.setProperty("io.netty.jfr.enabled", "false")
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
    // The platform writes the time before each line; who starts a process by hand may ask for it.
    if (System.getProperty(SHOW_TIME) == null) System.setProperty(SHOW_TIME, "false")
}
