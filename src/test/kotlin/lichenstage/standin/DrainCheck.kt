package lichenstage.standin

import io.vertx.core.Vertx
import io.vertx.core.VertxOptions
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import java.io.File
import java.util.Random
import kotlin.system.exitProcess

/**
 * Checks drains on loopback, started by hand: `DrainCheckKt [SEED]`. Three controllers of the built jar run against the stand-ins, and the
 * tasks of two teams fill all machines. A drain replaces all machines, and some of the replacements never boot. Meanwhile controllers are
 * killed at times that depend on the seed. An observer of the workers counts how many jobs of each team are interrupted at the same time.
 */
fun main(args: Array<String>) {
    exitProcess(DrainCheck(deployedCommand(), args.firstOrNull()?.toLong() ?: 1).run())
}

/** Counts, per team, the jobs with a task that was stopped and has not started again. */
internal class InterruptionObserver : WorkerObserver {
    private val stoppedTasksByTeam = HashMap<String, HashSet<String>>()

    /** The machines on which each task runs. */
    private val machinesByTask = HashMap<String, HashSet<String>>()

    /** The number of running tasks that were stopped by a command. */
    var interruptionCount = 0
        private set

    /** The highest number of jobs that were interrupted at the same time, by team. */
    var maxInterruptedJobs = HashMap<String, Int>()
        private set

    /** The number of task starts while the task already ran on another machine. */
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

    /** Returns the number of tasks that run on at least one machine. */
    @Synchronized
    fun countRunningTasks() = machinesByTask.values.count { it.isNotEmpty() }

    companion object {
        /** Returns the team of the task: red for tasks of even-numbered jobs, blue for those of odd-numbered jobs. */
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
            check("an unknown zone and an unknown subcommand end the drain command with exit status 2") {
                runDrainCommand("start", "x", "--zone", "moon") == EXIT_REFUSED &&
                    runDrainCommand("halt", "x") == EXIT_REFUSED
            }
            check("a dry run succeeds and creates no drain") {
                runDrainCommand("start", "x", "--all", "--dry-run") == 0 &&
                    runDrainCommand("status", "x") == EXIT_REFUSED
            }
            val machinesBefore = workers.filter { it.isUp }
            check("a drain of every machine is accepted, and so is its repetition") {
                (1..2).all {
                    runDrainCommand("start", DRAIN_NAME, "--all", "--at-most", "3", "--replace") == 0
                }
            }
            check("the drain finishes although controllers are killed") { finishesWhileControllersAreKilled() }
            check("every machine from before the drain has been terminated") { machinesBefore.none { it.isUp } }
            check("the drain has interrupted tasks") { observer.interruptionCount > 0 }
            check(
                "no team exceeds its budget: ${observer.maxInterruptedJobs}",
            ) { observer.maxInterruptedJobs.values.all { it <= JOB_BUDGET } }
            check("no task ran on two machines at once") { observer.duplicateRuns == 0 }
        } finally {
            controllers.killAll()
            cloud.stop()
            vertx.close()
        }
        println("${observer.interruptionCount} interruptions, ${checklist.elapsedS} s")
        return checklist.printSummary()
    }

    /** Starts the stand-ins and controllers, submits one job per machine, and waits until the tasks run. */
    private fun setUp() {
        File(folder, "operator.hcl").writeText("drains {\n  default {\n    jobs = $JOB_BUDGET\n  }\n}\n")
        StateStandIn(vertx, deployment.statePort).start()
        cloud.start()
        cloud.bootMachines(MACHINE_COUNT)
        controllers.launchAll()
        check("all controllers become healthy") { eventually(60) { client.areAllHealthy() } }
        repeat(MACHINE_COUNT) { submit() }
        check("as many tasks run as there are machines") { eventually(60) { observer.countRunningTasks() >= MACHINE_COUNT } }
    }

    /** Creates a worker. One in four of the machines that are provisioned after the start never boots. */
    private fun createWorker(
        name: String,
        zone: String,
    ): WorkerStandIn {
        val neverBoots = workers.size >= MACHINE_COUNT && workers.size % 4 == 0
        val profile = WorkerProfile(deployment.portsByLabel, LEASE_MS, TASK_DURATION_MS, HEARTBEAT_INTERVAL_MS, neverBoots = neverBoots)
        return WorkerStandIn(vertx, name, zone, deployment.allocatePort(), profile, observer).also { workers += it }
    }

    /** Submits jobs and kills controllers until the drain has finished. Returns false if it has not after [MAX_DRAIN_S] seconds. */
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

    /** Submits the next job. */
    private fun submit() {
        val id = submittedJobs++
        val job = submission(id, 2, InterruptionObserver.teamOf("j-$id/0"), estimatedRunS = TASK_DURATION_MS / 1000.0).put("cores", 8.0)
        client.submitToAny(job.encode())
    }

    private fun check(
        description: String,
        condition: () -> Boolean,
    ) = checklist.check(description, condition)

    /** Runs the `drain` command of the program, writes its output to `drain.log` and returns its exit status. */
    private fun runDrainCommand(vararg args: String): Int {
        val line = command.dropLast(1) + "drain" + args + listOf("--config", controllers.settingsFile(0).path)
        return runCommand(line, File(folder, "drain.log"))
    }

    private companion object {
        const val DRAIN_NAME = "all-out"

        /** The number of jobs of a team that may be interrupted at the same time. */
        const val JOB_BUDGET = 1
        const val MACHINE_COUNT = 8
        const val TASK_DURATION_MS = 60_000L
        const val LEASE_MS = 20_000L
        const val HEARTBEAT_INTERVAL_MS = 400L
        const val MAX_DRAIN_S = 420L

        /** The exit status for wrong arguments, and for the status of a drain that does not exist. */
        const val EXIT_REFUSED = 2
    }
}
