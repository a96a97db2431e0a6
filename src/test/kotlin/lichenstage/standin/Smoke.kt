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
    exitProcess(Smoke(deployedRun()).run())
}

/** Finds tasks that run on two machines at once. */
private class DuplicateRunObserver : WorkerObserver {
    private val running = ConcurrentHashMap<String, MutableSet<String>>()
    val duplicates: MutableSet<String> = ConcurrentHashMap.newKeySet()

    override fun started(
        task: String,
        machine: String,
    ) {
        val machines = running.computeIfAbsent(task) { ConcurrentHashMap.newKeySet() }
        machines += machine
        if (machines.size > 1) duplicates += task
    }

    override fun ended(
        task: String,
        machine: String,
    ) {
        running[task]?.remove(machine)
    }
}

private class Smoke(
    private val command: List<String>,
) {
    private val vertx = Vertx.vertx(VertxOptions().setEventLoopPoolSize(1))
    private val deployment = Deployment(listOf("a", "b", "c"))
    private val zones = deployment.zones
    private val folder = emptyFolder("smoke")
    private val client = ControllerClient(deployment)
    private val observer = DuplicateRunObserver()
    private val workerProfile = WorkerProfile(deployment.labels, leaseMs = 20_000, runMs = 400, heartbeatMs = 300)
    private val cloud =
        CloudStandIn(vertx, deployment.cloudPort, zones) { name, zone ->
            WorkerStandIn(vertx, name, zone, deployment.freePort(), workerProfile, observer)
        }
    private val controllers = ControllerProcesses(deployment, folder, ::traced, smallLimits("red" to 24.0), { LEVELS[it] })
    private val checklist = Checklist()

    fun run(): Int {
        try {
            check("wrong arguments end with status 2") { exitOf("--nonsense") == 2 }
            check("a missing settings file ends with status 2") { exitOf("--config", "target/none.json") == 2 }
            check("--version ends with status 0") { exitOf("--version") == 0 }
            StateStandIn(vertx, deployment.statePort).start()
            cloud.start()
            controllers.launchAll()
            check("all become healthy") { eventually { client.allHealthy() } }
            check("malformed is 400") { status(0, "POST", "/api/jobs", "{}") == 400 }
            check("unknown team is 422") { status(0, "POST", "/api/jobs", job(7, 1, "nobody")) == 422 }
            check("an unknown job is 404") { status(1, "GET", "/api/jobs/j-999") == 404 }
            check("an unknown path is 404 and a wrong method 405") {
                status(1, "GET", "/nowhere") == 404 &&
                    status(1, "GET", "/api/jobs") == 405
            }
            check("a job is accepted and its repeat known") {
                eventually { status(0, "POST", "/api/jobs", job(1, 6)) in 200..201 } && status(1, "POST", "/api/jobs", job(1, 6)) == 200
            }
            check("it gets done") { eventually { state(2, 1) == "done" } }
            check("a cancelled job stays cancelled") {
                status(0, "POST", "/api/jobs", job(2, 40)) == 201 && status(1, "POST", "/api/jobs/j-2/cancel") == 200 &&
                    state(2, 2) == "cancelled"
            }
            check("a pipeline is done stage by stage") {
                pipeline(20, 2) && eventually { state(1, 22) == "done" && state(2, 20) == "done" && state(0, 21) == "done" }
            }
            check("a pipeline is cancelled with its first job") {
                pipeline(30, 60) && state(1, 32) == "pending" && status(2, "POST", "/api/jobs/j-30/cancel") == 200 &&
                    eventually { state(0, 31) == "cancelled" && state(1, 32) == "cancelled" } &&
                    status(1, "POST", "/api/jobs", stage(33, 2, 32)) in 200..201 && state(2, 33) == "cancelled"
            }
            check("a job that names one that was never accepted is 422") { status(0, "POST", "/api/jobs", stage(40, 2, 999)) == 422 }
            check("work goes on when each process is killed in turn") {
                zones.indices.all { node ->
                    val id = 10 + node
                    val accepted = eventually { status((node + 1) % 3, "POST", "/api/jobs", job(id, 12)) in 200..201 }
                    controllers.restart(node)
                    accepted && eventually { state((node + 1) % 3, id) == "done" }
                }
            }
            check("no task was on two machines") { observer.duplicates.isEmpty() }
            check("a start takes its classes from the archive") { classesComeFromTheArchive() }
            check("LOG_LEVEL is obeyed") { levelsAreObeyed() }
            check("all processes still run") { controllers.allAlive }
        } finally {
            controllers.endAll()
            cloud.stop()
            vertx.close()
        }
        return checklist.close()
    }

    /** Three jobs, each of which waits for the one before, submitted through one process after the other. */
    private fun pipeline(
        first: Int,
        tasks: Int,
    ): Boolean =
        status(0, "POST", "/api/jobs", job(first, tasks)) in 200..201 &&
            (1..2).all { n -> status(n, "POST", "/api/jobs", stage(first + n, tasks, first + n - 1)) in 200..201 }

    private fun stage(
        id: Int,
        tasks: Int,
        dependencies: Int,
    ) = JsonObject(job(id, tasks)).put("waits_on", JsonArray().add("j-$dependencies")).encode()

    private fun check(
        what: String,
        test: () -> Boolean,
    ) = checklist.check(what, test)

    private fun exitOf(vararg args: String): Int = exitStatus(command.dropLast(1) + args, File(folder, "exit.log"))

    /** With a log of where each class came from. */
    private fun traced(node: Int) = deployedRun("-Xlog:class+load:file=${classLogOf(node).path}")

    private fun logOf(node: Int) = controllers.logOf(node)

    private fun classLogOf(node: Int) = File(folder, "classes$node.log")

    /**
     * Guards against an archive that lacks what serving needs, or that is not taken at all: each class that comes from elsewhere is read
     * and verified at every start. (Seen: 238 of them, and twice the processor time for a start, unnoticed for weeks.)
     */
    private fun classesComeFromTheArchive(): Boolean {
        val elsewhere = zones.indices.flatMap { classLogOf(it).readLines() }.filter { "shared objects file" !in it }
        val own = elsewhere.filter { " lichenstage." in it }
        own.take(5).forEach(::println)
        return own.isEmpty() && elsewhere.size <= MAX_CLASSES_ELSEWHERE * zones.size
    }

    /** Guards against a level that is set after the first logger was made, and so never obeyed. */
    private fun levelsAreObeyed() =
        logOf(0).readText().contains("DEBUG lichenstage") && logOf(1).readText().contains("INFO lichenstage") &&
            !logOf(1).readText().contains("DEBUG lichenstage") && !logOf(2).readText().contains("INFO lichenstage")

    private fun job(
        id: Int,
        tasks: Int,
        team: String = "red",
    ) = submission(id, tasks, team, guessS = 1.0).encode()

    private fun status(
        node: Int,
        method: String,
        path: String,
        body: String? = null,
    ) = client.status(node, method, path, body)

    private fun state(
        node: Int,
        id: Int,
    ): String? = client.jobStatus(node, id)

    private companion object {
        val LEVELS = listOf("debug", "info", "error")

        /** Classes of libraries, and generated ones, that a process loads from elsewhere; 79 were counted. */
        const val MAX_CLASSES_ELSEWHERE = 140
    }
}
