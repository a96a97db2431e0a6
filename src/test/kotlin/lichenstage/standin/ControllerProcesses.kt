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
    private val command: (node: Int) -> List<String>,
    private val limits: JsonObject,
    private val logLevel: (node: Int) -> String? = { null },
    private val moreArguments: List<String> = emptyList(),
) {
    private val processes = HashMap<Int, Process>()
    private val nodes = deployment.zones.indices

    val allAlive get() = processes.size == nodes.count() && processes.values.all { it.isAlive }

    fun launchAll() = nodes.forEach(::launch)

    fun launch(node: Int) {
        settingsOf(node).writeText(deployment.settings(node, limits).encodePrettily())
        val process =
            ProcessBuilder(command(node) + settingsOf(node).path + moreArguments)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(logOf(node)))
        logLevel(node)?.let { process.environment()["LOG_LEVEL"] = it }
        processes[node] = process.start()
    }

    /** The process of controller [node] that was launched last. */
    fun process(node: Int): Process = processes.getValue(node)

    /** Ends the process with no signal, and starts it again. */
    fun restart(node: Int) {
        processes.getValue(node).destroyForcibly().waitFor()
        launch(node)
    }

    fun settingsOf(node: Int) = File(folder, "n$node.json")

    fun logOf(node: Int) = File(folder, "n$node.log")

    fun endAll() = processes.values.forEach { it.destroyForcibly() }
}

/** An empty folder below `target` for what a check writes. */
internal fun emptyFolder(name: String): File =
    File("target", name).apply {
        deleteRecursively()
        mkdirs()
    }

/** Runs a command to its end, 30 s at most, with its output in [log]; its exit status. */
internal fun exitStatus(
    command: List<String>,
    log: File,
): Int {
    val process = ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log).start()
    if (!process.waitFor(LONGEST_COMMAND_S, TimeUnit.SECONDS)) process.destroyForcibly()
    return process.waitFor()
}

private const val LONGEST_COMMAND_S = 30L

/** The program and its arguments as the deploy file names them, with further [jvmFlags]; the settings file comes after. */
internal fun deployedRun(vararg jvmFlags: String): List<String> {
    val command =
        File("deploy/service.toml")
            .readLines()
            .first { it.startsWith("run = ") }
            .substringAfter('"')
            .substringBeforeLast('"')
            .split(' ')
    return listOf(command.first()) + jvmFlags + command.drop(1)
}
