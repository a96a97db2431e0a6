package lichenstage.standin

import io.vertx.core.json.JsonObject
import java.io.File
import java.util.concurrent.TimeUnit

/**
 * The controllers of a deployment as processes on loopback, each with its settings file and its log in [folder]. [command] is the program
 * with its arguments, without the settings file.
 */
internal class ControllerProcesses(
    private val deployment: Deployment,
    private val folder: File,
    private val command: (controller: Int) -> List<String>,
    private val settings: JsonObject,
    private val logLevel: (controller: Int) -> String? = { null },
    private val extraArguments: List<String> = emptyList(),
) {
    private val processes = HashMap<Int, Process>()
    private val controllers = deployment.zones.indices

    val areAllAlive get() = processes.size == controllers.count() && processes.values.all { it.isAlive }

    fun launchAll() = controllers.forEach(::launch)

    fun launch(controller: Int) {
        settingsFile(controller).writeText(deployment.settingsJson(controller, settings).encodePrettily())
        val process =
            ProcessBuilder(command(controller) + settingsFile(controller).path + extraArguments)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile(controller)))
        logLevel(controller)?.let { process.environment()["LOG_LEVEL"] = it }
        processes[controller] = process.start()
    }

    /** The process of controller [controller] that was launched last. */
    fun process(controller: Int): Process = processes.getValue(controller)

    /** Ends the process with no signal, and starts it again. */
    fun restart(controller: Int) {
        processes.getValue(controller).destroyForcibly().waitFor()
        launch(controller)
    }

    fun settingsFile(controller: Int) = File(folder, "n$controller.json")

    fun logFile(controller: Int) = File(folder, "n$controller.log")

    fun killAll() = processes.values.forEach { it.destroyForcibly() }
}

/** An empty folder below `target` for what a check writes. */
internal fun createEmptyFolder(name: String): File =
    File("target", name).apply {
        deleteRecursively()
        mkdirs()
    }

/** Runs a command to its end, 30 s at most, with its output in [log]; its exit status. */
internal fun runCommand(
    command: List<String>,
    log: File,
): Int {
    val process = ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log).start()
    if (!process.waitFor(COMMAND_TIMEOUT_S, TimeUnit.SECONDS)) process.destroyForcibly()
    return process.waitFor()
}

private const val COMMAND_TIMEOUT_S = 30L

/** The program and its arguments as the deploy file names them, with further [jvmFlags]; the settings file comes after. */
internal fun deployedCommand(vararg jvmFlags: String): List<String> {
    val command =
        File("deploy/service.toml")
            .readLines()
            .first { it.startsWith("run = ") }
            .substringAfter('"')
            .substringBeforeLast('"')
            .split(' ')
    return listOf(command.first()) + jvmFlags + command.drop(1)
}
