package lichenstage.standin

import io.vertx.core.Vertx
import io.vertx.core.VertxOptions
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import java.io.File
import java.util.Random
import kotlin.system.exitProcess

/**
 * A check of drains on loopback, run by hand: `DrainCheckKt [SEED]`. The built jar three times against the stand-ins, tasks of two teams on
 * every machine, and a drain of all of them with replacements, some of which never come up, while controllers are killed as the seed has
 * it. An observer at the workers counts which jobs of each team are held up by stops at every moment.
 */
fun main(args: Array<String>) {
    exitProcess(DrainCheck(deployedCommand(), args.firstOrNull()?.toLong() ?: 1).run())
}

/** Counts the jobs of each team that are interrupted by stops, as the workers see it. */
internal class InterruptionObserver : WorkerObserver {
    private val stoppedTasksByTeam = HashMap<String, HashSet<String>>()
    private val machinesByTask = HashMap<String, HashSet<String>>()
    var interruptionCount = 0
        private set
    var maxInterruptedJobs = HashMap<String, Int>()
        private set
    var duplicateRuns = 0
        private set

    @Synchronized
    override fun onTaskStarted(
        task: String,
        machine: String,
    ) {
        val machines = machinesByTask.getOrPut(task) { HashSet() }
        machines += machine
        if (machines.size > 1) duplicateRuns++
        stoppedTasksByTeam[teamOf(task)]?.remove(task)
    }

    @Synchronized
    override fun onTaskEnded(
        task: String,
        machine: String,
    ) {
        machinesByTask[task]?.remove(machine)
    }

    @Synchronized
    override fun onTaskStopped(task: String) {
        interruptionCount++
        val team = teamOf(task)
        val tasks = stoppedTasksByTeam.getOrPut(team) { HashSet() }
        tasks += task
        maxInterruptedJobs.merge(team, tasks.map { it.substringBefore('/') }.distinct().size, ::maxOf)
    }

    @Synchronized
    fun countRunningTasks() = machinesByTask.values.count { it.isNotEmpty() }

    companion object {
        /** Even jobs are of one team, odd ones of the other. */
        fun teamOf(task: String) = if (task.substringBefore('/').substringAfter('-').toInt() % 2 == 0) "red" else "blue"
    }
}

private class DrainCheck(
    private val command: List<String>,
    seed: Long,
) {
    private val vertx = Vertx.vertx(VertxOptions().setEventLoopPoolSize(1))
    private val deployment = Deployment(listOf("a", "b", "c"))
    private val random = Random(seed)
    private val folder = createEmptyFolder("drain-check")
    private val client = ControllerClient(deployment)
    private val observer = InterruptionObserver()
    private val controllers =
        ControllerProcesses(
            deployment,
            folder,
            { command },
            smallSettings("red" to 400.0, "blue" to 400.0),
            extraArguments = listOf("--operator", File(folder, "operator.hcl").path),
        )
    private val workers = ArrayList<WorkerStandIn>()
    private val cloud = CloudStandIn(vertx, deployment.cloudPort, deployment.zones, ::createWorker)
    private val checklist = Checklist()
    private var submittedJobs = 0

    fun run(): Int {
        try {
            setUp()
            check("wrong arguments end with status 2") {
                runDrainCommand("start", "x", "--zone", "moon") == EXIT_REFUSED &&
                    runDrainCommand("halt", "x") == EXIT_REFUSED
            }
            check("a dry run writes nothing") {
                runDrainCommand("start", "x", "--all", "--dry-run") == 0 &&
                    runDrainCommand("status", "x") == EXIT_REFUSED
            }
            val machinesBefore = workers.filter { it.isUp }
            check("a drain of every machine is taken, again too") {
                (1..2).all {
                    runDrainCommand("start", DRAIN_NAME, "--all", "--at-most", "3", "--replace") ==
                        0
                }
            }
            check("it is finished while controllers are killed") { finishesWhileControllersAreKilled() }
            check("every machine that was there is gone") { machinesBefore.none { it.isUp } }
            check("tasks were interrupted") { observer.interruptionCount > 0 }
            check(
                "no team was over its budget: ${observer.maxInterruptedJobs}",
            ) { observer.maxInterruptedJobs.values.all { it <= JOB_BUDGET } }
            check("no task was on two machines") { observer.duplicateRuns == 0 }
        } finally {
            controllers.killAll()
            cloud.stop()
            vertx.close()
        }
        println("${observer.interruptionCount} interruptions, ${checklist.elapsedS} s")
        return checklist.printSummary()
    }

    private fun setUp() {
        File(folder, "operator.hcl").writeText("drains {\n  default {\n    jobs = $JOB_BUDGET\n  }\n}\n")
        StateStandIn(vertx, deployment.statePort).start()
        cloud.start()
        cloud.bootMachines(MACHINE_COUNT)
        controllers.launchAll()
        check("all become healthy") { eventually(60) { client.allHealthy() } }
        repeat(MACHINE_COUNT) { submit() }
        check("tasks run on every machine") { eventually(60) { observer.countRunningTasks() >= MACHINE_COUNT } }
    }

    /** Of those that are provisioned later, one in four never comes up. */
    private fun createWorker(
        name: String,
        zone: String,
    ): WorkerStandIn {
        val neverBoots = workers.size >= MACHINE_COUNT && workers.size % 4 == 0
        val profile = WorkerProfile(deployment.portsByLabel, LEASE_MS, TASK_DURATION_MS, HEARTBEAT_INTERVAL_MS, neverBoots)
        return WorkerStandIn(vertx, name, zone, deployment.allocatePort(), profile, observer).also { workers += it }
    }

    /** Until the drain is finished: work comes, and controllers are killed. */
    private fun finishesWhileControllersAreKilled(): Boolean {
        var nextKillAtS = checklist.elapsedS + 5
        return eventually(MAX_DRAIN_S) {
            submit()
            if (checklist.elapsedS >= nextKillAtS) {
                nextKillAtS = checklist.elapsedS + 6 + random.nextInt(8)
                controllers.restart(random.nextInt(deployment.zones.size))
            }
            Thread.sleep(2_000)
            runDrainCommand("status", DRAIN_NAME) == 0 && File(folder, "drain.log").readText().contains("$DRAIN_NAME: finished")
        }
    }

    private fun submit() {
        val id = submittedJobs++
        val job = submission(id, 2, InterruptionObserver.teamOf("j-$id/0"), estimatedRunS = TASK_DURATION_MS / 1000.0).put("cores", 8.0)
        client.submitToAny(job.encode())
    }

    private fun check(
        description: String,
        condition: () -> Boolean,
    ) = checklist.check(description, condition)

    /** The command beside the service; its output is left in a file. */
    private fun runDrainCommand(vararg args: String): Int {
        val line = command.dropLast(1) + "drain" + args + listOf("--config", controllers.settingsFile(0).path)
        return runCommand(line, File(folder, "drain.log"))
    }

    private companion object {
        const val DRAIN_NAME = "all-out"
        const val JOB_BUDGET = 1
        const val MACHINE_COUNT = 8
        const val TASK_DURATION_MS = 60_000L
        const val LEASE_MS = 20_000L
        const val HEARTBEAT_INTERVAL_MS = 400L
        const val MAX_DRAIN_S = 420L
        const val EXIT_REFUSED = 2
    }
}
