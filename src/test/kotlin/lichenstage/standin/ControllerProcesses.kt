package lichenstage.standin

import io.vertx.core.json.JsonObject
import java.io.File
import java.util.concurrent.TimeUnit

/**
 * The controller processes of a loopback deployment. Controllers are numbered from 0.
 *
 * @property folder the folder of the settings file and the log of each controller
 * @property command returns the program and its arguments, without the path of the settings file, which is appended
 * @property settings the fields of `settings` in the settings file, without those that [Deployment] sets
 * @property logLevel returns the value of `LOG_LEVEL` for a controller; null leaves the variable as it is
 * @property extraArguments the arguments that follow the path of the settings file
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

    /** Whether all controllers have been launched and none has exited. */
    val areAllAlive get() = processes.size == controllers.count() && processes.values.all { it.isAlive }

    fun launchAll() = controllers.forEach(::launch)

    /** Writes the settings file of a controller and starts its process. The log of an earlier process is kept and continued. */
    fun launch(controller: Int) {
        settingsFile(controller).writeText(deployment.settingsJson(controller, settings).encodePrettily())
        val process =
            ProcessBuilder(command(controller) + settingsFile(controller).path + extraArguments)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile(controller)))
        logLevel(controller)?.let { process.environment()["LOG_LEVEL"] = it }
        processes[controller] = process.start()
    }

    /** Returns the most recently launched process of a controller. */
    fun process(controller: Int): Process = processes.getValue(controller)

    /** Kills the process, which gets no chance to shut down, and starts a new one. */
    fun restart(controller: Int) {
        processes.getValue(controller).destroyForcibly().waitFor()
        launch(controller)
    }

    fun settingsFile(controller: Int) = File(folder, "n$controller.json")

    fun logFile(controller: Int) = File(folder, "n$controller.log")

    fun killAll() = processes.values.forEach { it.destroyForcibly() }
}

/** Creates an empty folder below `target` for the files of a check, and deletes what an earlier run left there. */
internal fun createEmptyFolder(name: String): File =
    File("target", name).apply {
        deleteRecursively()
        mkdirs()
    }

/** Runs a command, writes its output to [log] and returns its exit status. Kills the command after [COMMAND_TIMEOUT_S] seconds. */
internal fun runCommand(
    command: List<String>,
    log: File,
): Int {
    val process = ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log).start()
    if (!process.waitFor(COMMAND_TIMEOUT_S, TimeUnit.SECONDS)) process.destroyForcibly()
    return process.waitFor()
}

private const val COMMAND_TIMEOUT_S = 30L

/**
 * Returns the program and its arguments from the deploy file, with [jvmFlags] as the first arguments. The path of the settings file has to
 * be appended.
 */
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
