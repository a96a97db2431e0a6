package lichenstage.standin

import io.vertx.core.Vertx
import io.vertx.core.VertxOptions
import io.vertx.core.http.HttpClient
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.PoolOptions
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import lichenstage.common.CommandLineParser
import lichenstage.common.ParsedArguments
import java.io.File
import java.nio.file.Files
import java.nio.file.Path
import java.util.Random
import java.util.concurrent.atomic.AtomicInteger
import kotlin.system.exitProcess

/**
 * Checks a controller of the built jar under load on loopback, started by hand. The controller runs with the flags of the deploy file. By
 * default the other two controllers of the deployment do not run. The check has three phases: all workers arrive, all workers reconnect at
 * once, and the controller is killed and restarted. The memory, threads and sockets of its process are read from /proc every second.
 */
fun main(args: Array<String>) {
    val commandLine =
        CommandLineParser("load", "Checks the built jar under load on loopback.")
            .value("workers", "COUNT", "Number of workers (default 1600).")
            .value("controllers", "COUNT", "Number of controllers that run, of three (default 1).")
            .value("phase", "SECONDS", "Duration of each of the three phases (default 40).")
            .value("tasks", "COUNT", "Tasks submitted per second (default 140).")
            .value("sockets", "COUNT", "max_sockets in the settings (default 2481).")
            .value("jvm", "FLAGS", "Further JVM flags for the controllers, separated by blanks, for example for a recording.")
            .flag("help", "Show this help.", short = "h")
    val arguments = commandLine.parse(args.toList())
    if (arguments.has("help")) return println(commandLine.help())
    exitProcess(Load(LoadOptions(arguments)).run())
}

/** The options of the check from the command line. */
private class LoadOptions(
    arguments: ParsedArguments,
) {
    val workers = arguments.wholeNumber("workers")?.toInt() ?: 1600
    val controllers = arguments.wholeNumber("controllers")?.toInt() ?: 1
    val phaseDurationS = arguments.wholeNumber("phase")?.toInt() ?: 40
    val tasksPerSecond = arguments.wholeNumber("tasks")?.toInt() ?: 140
    val maxSockets = arguments.wholeNumber("sockets")?.toInt() ?: 2481
    val jvmFlags = arguments.text("jvm")?.split(' ').orEmpty()
}

private class Load(
    private val options: LoadOptions,
) {
    private val vertx = Vertx.vertx(VertxOptions().setEventLoopPoolSize(2))
    private val deployment = Deployment(listOf("a", "b", "c"))
    private val servePorts = deployment.servePorts
    private val random = Random(1)
    private val userClient: HttpClient = vertx.createHttpClient(PoolOptions().setHttp1MaxSize(40))
    private val folder = File("target/load").apply { mkdirs() }
    private val refusedSubmissions = AtomicInteger()
    private val pollCount = AtomicInteger()
    private val failedPolls = AtomicInteger()
    private var submittedJobs = 0
    private val controllers = ControllerProcesses(deployment, folder, { deployedCommand(*options.jvmFlags.toTypedArray()) }, settings())

    /** The process of controller 0, which is measured, killed and restarted. */
    private val measuredProcess get() = controllers.process(0)

    fun run(): Int {
        try {
            StateStandIn(vertx, deployment.statePort).start()
            val cloud =
                CloudStandIn(vertx, deployment.cloudPort, deployment.zones) { name, zone ->
                    val profile =
                        WorkerProfile(
                            deployment.portsByLabel,
                            LEASE_MS,
                            TASK_DURATION_MS,
                            heartbeatIntervalMs = 3_000L + random.nextInt(2_000),
                        )
                    WorkerStandIn(vertx, name, zone, deployment.allocatePort(), profile, object : WorkerObserver {})
                }
            cloud.start()
            repeat(options.controllers, controllers::launch)
            val workers = cloud.bootMachines(options.workers)
            runPhase("all workers arrive", workers)
            workers.forEach { it.reconnect() }
            runPhase("all workers reconnect", workers)
            controllers.restart(0)
            runPhase("controller 0 is killed and restarted", workers)
            println("expired leases: ${workers.sumOf { it.leaseExpiries }}; polls: ${pollCount.get()}, failed: ${failedPolls.get()}")
            println("submissions: $submittedJobs, refused: ${refusedSubmissions.get()}")
            return if (measuredProcess.isAlive) 0 else 1
        } finally {
            controllers.killAll()
            vertx.close()
        }
    }

    /**
     * Runs one phase and prints a line with two results: the time after which each worker had a reply to a heartbeat (-1 if a worker had
     * none), and the peak usage of the measured process.
     */
    private fun runPhase(
        name: String,
        workers: List<WorkerStandIn>,
    ) {
        val startMs = System.currentTimeMillis()
        var repliedAfterMs = -1L
        var peakUsage = ProcessUsage(0, 0, 0)
        val cpuTimeBeforeMs = cpuTimeMs()
        for (second in 1..options.phaseDurationS) {
            Thread.sleep(1_000)
            submit()
            repeat(POLLS_PER_SECOND) { poll() }
            val usage = readUsage(measuredProcess.pid())
            peakUsage =
                ProcessUsage(
                    maxOf(peakUsage.memoryMb, usage.memoryMb),
                    maxOf(peakUsage.threads, usage.threads),
                    maxOf(peakUsage.sockets, usage.sockets),
                )
            if (repliedAfterMs < 0 && workers.all { it.lastRepliedAtMs > startMs }) repliedAfterMs = System.currentTimeMillis() - startMs
        }
        val cpuTimeS = (cpuTimeMs() - cpuTimeBeforeMs) / 1000.0
        println("$name: all had a reply after $repliedAfterMs ms; $peakUsage; $cpuTimeS s of processor time in ${options.phaseDurationS} s")
    }

    /** Submits two jobs, which together have the tasks of one second. */
    private fun submit() {
        val tasks = options.tasksPerSecond / 2
        repeat(2) {
            val id = ++submittedJobs
            userClient
                .request(HttpMethod.POST, servePorts[0], LOOPBACK, "/api/jobs")
                .compose { it.send(submission(id, tasks, "red", TASK_DURATION_MS / 1000.0).toBuffer()) }
                .compose { response -> response.body().map { response.statusCode() } }
                .onComplete { if (!it.succeeded() || it.result() != 201) refusedSubmissions.incrementAndGet() }
        }
    }

    /** Requests the status of a random submitted job. Status code 404 is no failure because the submission may have been refused. */
    private fun poll() {
        pollCount.incrementAndGet()
        userClient
            .request(HttpMethod.GET, servePorts[0], LOOPBACK, "/api/jobs/j-${1 + random.nextInt(submittedJobs)}")
            .compose { it.send() }
            .compose { response -> response.body().map { response.statusCode() } }
            .onComplete { if (!it.succeeded() || it.result() !in setOf(200, 404)) failedPolls.incrementAndGet() }
    }

    /** The resident memory, threads and open sockets of a process. */
    private data class ProcessUsage(
        val memoryMb: Long,
        val threads: Long,
        val sockets: Int,
    ) {
        override fun toString() = "$memoryMb MB, $threads threads, $sockets sockets at most"
    }

    /** Reads the current usage of the process from /proc. */
    private fun readUsage(pid: Long): ProcessUsage {
        val status = File("/proc/$pid/status").readLines()

        fun readNumber(key: String) =
            status
                .first { it.startsWith(key) }
                .filter { it.isDigit() }
                .toLong()
        val sockets =
            File("/proc/$pid/fd").list().orEmpty().count {
                runCatching { Files.readSymbolicLink(Path.of("/proc/$pid/fd/$it")).toString().startsWith("socket") }.getOrDefault(false)
            }
        return ProcessUsage(readNumber("VmRSS") / 1024, readNumber("Threads"), sockets)
    }

    /** Returns the processor time of the measured process since its start, in milliseconds. */
    private fun cpuTimeMs(): Long =
        measuredProcess
            .info()
            .totalCpuDuration()
            .map { it.toMillis() }
            .orElse(0)

    private fun settings(): JsonObject =
        JsonObject()
            .put("teams", JsonArray().add(JsonObject().put("name", "red")))
            .put("workers", JsonObject().put("report_s", 4.0).put("lease_s", LEASE_MS / 1000.0).put("cancel_s", 50.0))
            .put("state", stateSettings(writeRps = 120.0, valueKb = 16.0, txnOps = 48))
            .put("cloud", JsonObject().put("rps", 10.0).put("list_lag_s", 1.0))
            .put("machine_limits", JsonObject().put("core_share", 0.187).put("memory_mb", 365.0).put("max_sockets", options.maxSockets))

    private companion object {
        const val LEASE_MS = 22_000L
        const val TASK_DURATION_MS = 12_000L
        const val POLLS_PER_SECOND = 60
    }
}
