package lichenstage.standin

import io.vertx.core.Vertx
import io.vertx.core.VertxOptions
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import java.io.File
import java.util.concurrent.ConcurrentHashMap
import kotlin.system.exitProcess

/**
 * Checks the built jar on loopback: three controllers, started with the command of the deploy file, run against the stand-ins. The check
 * submits, polls and cancels jobs, kills each controller in turn, and verifies that no task ran on two machines at once. Finally it
 * prints how many checks passed and failed.
 */
fun main() {
    exitProcess(Smoke(deployedCommand()).run())
}

/** Detects tasks that run on two machines at once. */
private class DuplicateRunObserver : WorkerObserver {
    private val machinesByTask = ConcurrentHashMap<String, MutableSet<String>>()

    /** The tasks that ran on two machines at once. */
    val tasksRunTwice: MutableSet<String> = ConcurrentHashMap.newKeySet()

    override fun onTaskStarted(
        task: String,
        machine: String,
    ) {
        val machines = machinesByTask.computeIfAbsent(task) { ConcurrentHashMap.newKeySet() }
        machines += machine
        if (machines.size > 1) tasksRunTwice += task
    }

    override fun onTaskEnded(
        task: String,
        machine: String,
    ) {
        machinesByTask[task]?.remove(machine)
    }
}

private class Smoke(
    private val command: List<String>,
) {
    private val vertx = Vertx.vertx(VertxOptions().setEventLoopPoolSize(1))
    private val deployment = Deployment(listOf("a", "b", "c"))
    private val zones = deployment.zones
    private val folder = createEmptyFolder("smoke")
    private val client = ControllerClient(deployment)
    private val observer = DuplicateRunObserver()
    private val workerProfile = WorkerProfile(deployment.portsByLabel, leaseMs = 20_000, taskDurationMs = 400, heartbeatIntervalMs = 300)
    private val cloud =
        CloudStandIn(vertx, deployment.cloudPort, zones) { name, zone ->
            WorkerStandIn(vertx, name, zone, deployment.allocatePort(), workerProfile, observer)
        }
    private val controllers =
        ControllerProcesses(deployment, folder, ::commandWithClassLog, smallSettings("red" to 24.0), { LOG_LEVELS[it] })
    private val checklist = Checklist()

    fun run(): Int {
        try {
            check("an unknown option ends the program with exit status 2") { exitStatusOf("--nonsense") == 2 }
            check("a missing settings file ends the program with exit status 2") { exitStatusOf("--config", "target/none.json") == 2 }
            check("--version ends the program with exit status 0") { exitStatusOf("--version") == 0 }
            StateStandIn(vertx, deployment.statePort).start()
            cloud.start()
            controllers.launchAll()
            check("all controllers become healthy") { eventually { client.areAllHealthy() } }
            check("an incomplete submission gets status 400") { statusCode(0, "POST", "/api/jobs", "{}") == 400 }
            check("a submission of an unknown team gets status 422") { statusCode(0, "POST", "/api/jobs", jobJson(7, 1, "nobody")) == 422 }
            check("a request for an unknown job gets status 404") { statusCode(1, "GET", "/api/jobs/j-999") == 404 }
            check("an unknown path gets status 404 and a wrong method gets status 405") {
                statusCode(1, "GET", "/nowhere") == 404 &&
                    statusCode(1, "GET", "/api/jobs") == 405
            }
            check("a submission is accepted and its repetition gets status 200") {
                eventually { statusCode(0, "POST", "/api/jobs", jobJson(1, 6)) in 200..201 } &&
                    statusCode(1, "POST", "/api/jobs", jobJson(1, 6)) == 200
            }
            check("the accepted job gets done") { eventually { jobStatus(2, 1) == "done" } }
            check("a job cancelled through one controller is reported as cancelled by another") {
                statusCode(0, "POST", "/api/jobs", jobJson(2, 40)) == 201 && statusCode(1, "POST", "/api/jobs/j-2/cancel") == 200 &&
                    jobStatus(2, 2) == "cancelled"
            }
            check("a pipeline of three jobs, each depending on the one before, gets done") {
                submitPipeline(20, 2) &&
                    eventually { jobStatus(1, 22) == "done" && jobStatus(2, 20) == "done" && jobStatus(0, 21) == "done" }
            }
            check("cancelling the first job of a pipeline cancels the others, and a job that is added to it later") {
                submitPipeline(30, 60) && jobStatus(1, 32) == "pending" && statusCode(2, "POST", "/api/jobs/j-30/cancel") == 200 &&
                    eventually { jobStatus(0, 31) == "cancelled" && jobStatus(1, 32) == "cancelled" } &&
                    statusCode(1, "POST", "/api/jobs", dependentJobJson(33, 2, 32)) in 200..201 && jobStatus(2, 33) == "cancelled"
            }
            check("a submission that depends on an unknown job gets status 422") {
                statusCode(0, "POST", "/api/jobs", dependentJobJson(40, 2, 999)) == 422
            }
            check("jobs get done while each controller is killed and restarted in turn") {
                zones.indices.all { controller ->
                    val id = 10 + controller
                    val isAccepted = eventually { statusCode((controller + 1) % 3, "POST", "/api/jobs", jobJson(id, 12)) in 200..201 }
                    controllers.restart(controller)
                    isAccepted && eventually { jobStatus((controller + 1) % 3, id) == "done" }
                }
            }
            check("no task ran on two machines at once") { observer.tasksRunTwice.isEmpty() }
            check("controllers load their classes from the class archive") { areClassesFromArchive() }
            check("controllers log at the level set by LOG_LEVEL") { areLogLevelsObeyed() }
            check("all controller processes are still running") { controllers.areAllAlive }
        } finally {
            controllers.killAll()
            cloud.stop()
            vertx.close()
        }
        return checklist.printSummary()
    }

    /** Submits three jobs, each to a different controller; the later two depend on the job before. Returns whether all are accepted. */
    private fun submitPipeline(
        firstId: Int,
        tasks: Int,
    ): Boolean =
        statusCode(0, "POST", "/api/jobs", jobJson(firstId, tasks)) in 200..201 &&
            (1..2).all { n -> statusCode(n, "POST", "/api/jobs", dependentJobJson(firstId + n, tasks, firstId + n - 1)) in 200..201 }

    /** Returns the submission of a job that depends on the job [dependency]. */
    private fun dependentJobJson(
        id: Int,
        tasks: Int,
        dependency: Int,
    ) = JsonObject(jobJson(id, tasks)).put("waits_on", JsonArray().add("j-$dependency")).encode()

    private fun check(
        description: String,
        condition: () -> Boolean,
    ) = checklist.check(description, condition)

    /** Runs the program with [args] and returns its exit status. */
    private fun exitStatusOf(vararg args: String): Int = runCommand(command.dropLast(1) + args, File(folder, "exit.log"))

    /** Returns the command of a controller, with a JVM flag that logs the source of each loaded class. */
    private fun commandWithClassLog(controller: Int) = deployedCommand("-Xlog:class+load:file=${classLogFile(controller).path}")

    private fun logFile(controller: Int) = controllers.logFile(controller)

    private fun classLogFile(controller: Int) = File(folder, "classes$controller.log")

    /**
     * Returns whether controllers load their classes from the class archive. This guards against an archive that is not used, or that lacks
     * classes needed for serving. Each class from outside the archive is read and verified at every start. Such a fault once went unnoticed
     * for weeks: 238 classes came from outside the archive, and a start took twice the processor time.
     */
    private fun areClassesFromArchive(): Boolean {
        val outsideArchive = zones.indices.flatMap { classLogFile(it).readLines() }.filter { "shared objects file" !in it }
        val ownClasses = outsideArchive.filter { " lichenstage." in it }
        ownClasses.take(5).forEach(::println)
        return ownClasses.isEmpty() && outsideArchive.size <= MAX_CLASSES_OUTSIDE_ARCHIVE * zones.size
    }

    /**
     * Returns whether `LOG_LEVEL` determines which lines the controllers log. This guards against a log level that is set only after the
     * first logger was created, and therefore has no effect.
     */
    private fun areLogLevelsObeyed() =
        logFile(0).readText().contains("DEBUG lichenstage") && logFile(1).readText().contains("INFO lichenstage") &&
            !logFile(1).readText().contains("DEBUG lichenstage") && !logFile(2).readText().contains("INFO lichenstage")

    private fun jobJson(
        id: Int,
        tasks: Int,
        team: String = "red",
    ) = submission(id, tasks, team, estimatedRunS = 1.0).encode()

    private fun statusCode(
        controller: Int,
        method: String,
        path: String,
        body: String? = null,
    ) = client.statusCode(controller, method, path, body)

    private fun jobStatus(
        controller: Int,
        id: Int,
    ): String? = client.jobStatus(controller, id)

    private companion object {
        val LOG_LEVELS = listOf("debug", "info", "error")

        /** The limit per process for library and generated classes from outside the class archive. A process loads 79 of them. */
        const val MAX_CLASSES_OUTSIDE_ARCHIVE = 140
    }
}
