package lichenstage.standin

import io.vertx.core.Vertx
import io.vertx.core.VertxOptions
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import java.io.File
import java.util.concurrent.ConcurrentHashMap
import kotlin.system.exitProcess

/**
 * Starts the built jar as the deploy file says, three times on loopback, against the stand-ins: submits, polls, cancels,
 * kills the process that leads, and looks that no task was on two machines. Ends with the count of what passed.
 */
fun main() {
    exitProcess(Smoke(deployedCommand()).run())
}

/** Finds tasks that run on two machines at once. */
private class DuplicateRunObserver : WorkerObserver {
    private val machinesByTask = ConcurrentHashMap<String, MutableSet<String>>()
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
            check("wrong arguments end with status 2") { exitStatusOf("--nonsense") == 2 }
            check("a missing settings file ends with status 2") { exitStatusOf("--config", "target/none.json") == 2 }
            check("--version ends with status 0") { exitStatusOf("--version") == 0 }
            StateStandIn(vertx, deployment.statePort).start()
            cloud.start()
            controllers.launchAll()
            check("all become healthy") { eventually { client.allHealthy() } }
            check("malformed is 400") { statusCode(0, "POST", "/api/jobs", "{}") == 400 }
            check("unknown team is 422") { statusCode(0, "POST", "/api/jobs", jobJson(7, 1, "nobody")) == 422 }
            check("an unknown job is 404") { statusCode(1, "GET", "/api/jobs/j-999") == 404 }
            check("an unknown path is 404 and a wrong method 405") {
                statusCode(1, "GET", "/nowhere") == 404 &&
                    statusCode(1, "GET", "/api/jobs") == 405
            }
            check("a job is accepted and its repeat known") {
                eventually { statusCode(0, "POST", "/api/jobs", jobJson(1, 6)) in 200..201 } &&
                    statusCode(1, "POST", "/api/jobs", jobJson(1, 6)) == 200
            }
            check("it gets done") { eventually { jobStatus(2, 1) == "done" } }
            check("a cancelled job stays cancelled") {
                statusCode(0, "POST", "/api/jobs", jobJson(2, 40)) == 201 && statusCode(1, "POST", "/api/jobs/j-2/cancel") == 200 &&
                    jobStatus(2, 2) == "cancelled"
            }
            check("a pipeline is done stage by stage") {
                submitPipeline(20, 2) &&
                    eventually { jobStatus(1, 22) == "done" && jobStatus(2, 20) == "done" && jobStatus(0, 21) == "done" }
            }
            check("a pipeline is cancelled with its first job") {
                submitPipeline(30, 60) && jobStatus(1, 32) == "pending" && statusCode(2, "POST", "/api/jobs/j-30/cancel") == 200 &&
                    eventually { jobStatus(0, 31) == "cancelled" && jobStatus(1, 32) == "cancelled" } &&
                    statusCode(1, "POST", "/api/jobs", dependentJobJson(33, 2, 32)) in 200..201 && jobStatus(2, 33) == "cancelled"
            }
            check("a job that names one that was never accepted is 422") {
                statusCode(0, "POST", "/api/jobs", dependentJobJson(40, 2, 999)) ==
                    422
            }
            check("work goes on when each process is killed in turn") {
                zones.indices.all { controller ->
                    val id = 10 + controller
                    val accepted = eventually { statusCode((controller + 1) % 3, "POST", "/api/jobs", jobJson(id, 12)) in 200..201 }
                    controllers.restart(controller)
                    accepted && eventually { jobStatus((controller + 1) % 3, id) == "done" }
                }
            }
            check("no task was on two machines") { observer.tasksRunTwice.isEmpty() }
            check("a start takes its classes from the archive") { areClassesFromArchive() }
            check("LOG_LEVEL is obeyed") { areLogLevelsObeyed() }
            check("all processes still run") { controllers.areAllAlive }
        } finally {
            controllers.killAll()
            cloud.stop()
            vertx.close()
        }
        return checklist.printSummary()
    }

    /** Three jobs, each of which waits for the one before, submitted through one process after the other. */
    private fun submitPipeline(
        firstId: Int,
        tasks: Int,
    ): Boolean =
        statusCode(0, "POST", "/api/jobs", jobJson(firstId, tasks)) in 200..201 &&
            (1..2).all { n -> statusCode(n, "POST", "/api/jobs", dependentJobJson(firstId + n, tasks, firstId + n - 1)) in 200..201 }

    private fun dependentJobJson(
        id: Int,
        tasks: Int,
        dependency: Int,
    ) = JsonObject(jobJson(id, tasks)).put("waits_on", JsonArray().add("j-$dependency")).encode()

    private fun check(
        description: String,
        condition: () -> Boolean,
    ) = checklist.check(description, condition)

    private fun exitStatusOf(vararg args: String): Int = runCommand(command.dropLast(1) + args, File(folder, "exit.log"))

    /** With a log of where each class came from. */
    private fun commandWithClassLog(controller: Int) = deployedCommand("-Xlog:class+load:file=${classLogFile(controller).path}")

    private fun logFile(controller: Int) = controllers.logFile(controller)

    private fun classLogFile(controller: Int) = File(folder, "classes$controller.log")

    /**
     * Guards against an archive that lacks what serving needs, or that is not taken at all: each class that comes from elsewhere is read
     * and verified at every start. (Seen: 238 of them, and twice the processor time for a start, unnoticed for weeks.)
     */
    private fun areClassesFromArchive(): Boolean {
        val outsideArchive = zones.indices.flatMap { classLogFile(it).readLines() }.filter { "shared objects file" !in it }
        val ownClasses = outsideArchive.filter { " lichenstage." in it }
        ownClasses.take(5).forEach(::println)
        return ownClasses.isEmpty() && outsideArchive.size <= MAX_CLASSES_OUTSIDE_ARCHIVE * zones.size
    }

    /** Guards against a level that is set after the first logger was made, and so never obeyed. */
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

        /** Classes of libraries, and generated ones, that a process loads from elsewhere; 79 were counted. */
        const val MAX_CLASSES_OUTSIDE_ARCHIVE = 140
    }
}
