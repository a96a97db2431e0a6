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
    exitProcess(DrainCheck(deployedRun(), args.firstOrNull()?.toLong() ?: 1).run())
}

/** Counts the jobs of each team that are interrupted by stops, as the workers see it. */
internal class InterruptionObserver : WorkerObserver {
    private val stopped = HashMap<String, HashSet<String>>()
    private val running = HashMap<String, HashSet<String>>()
    var interruptions = 0
        private set
    var maxJobsInterrupted = HashMap<String, Int>()
        private set
    var ranTwice = 0
        private set

    @Synchronized
    override fun started(
        task: String,
        machine: String,
    ) {
        val there = running.getOrPut(task) { HashSet() }
        there += machine
        if (there.size > 1) ranTwice++
        stopped[teamOf(task)]?.remove(task)
    }

    @Synchronized
    override fun ended(
        task: String,
        machine: String,
    ) {
        running[task]?.remove(machine)
    }

    @Synchronized
    override fun halted(task: String) {
        interruptions++
        val team = teamOf(task)
        val tasks = stopped.getOrPut(team) { HashSet() }
        tasks += task
        maxJobsInterrupted.merge(team, tasks.map { it.substringBefore('/') }.distinct().size, ::maxOf)
    }

    @Synchronized
    fun runningTasks() = running.values.count { it.isNotEmpty() }

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
    private val folder = emptyFolder("drain-check")
    private val client = ControllerClient(deployment)
    private val observer = InterruptionObserver()
    private val controllers =
        ControllerProcesses(
            deployment,
            folder,
            { command },
            smallLimits("red" to 400.0, "blue" to 400.0),
            moreArguments = listOf("--operator", File(folder, "operator.hcl").path),
        )
    private val workers = ArrayList<WorkerStandIn>()
    private val cloud = CloudStandIn(vertx, deployment.cloudPort, deployment.zones, ::worker)
    private val checklist = Checklist()
    private var jobs = 0

    fun run(): Int {
        try {
            begin()
            check("wrong arguments end with status 2") { drain("start", "x", "--zone", "moon") == REFUSED && drain("halt", "x") == REFUSED }
            check("a dry run writes nothing") { drain("start", "x", "--all", "--dry-run") == 0 && drain("status", "x") == REFUSED }
            val before = workers.filter { it.up }
            check("a drain of every machine is taken, again too") {
                (1..2).all {
                    drain("start", NAME, "--all", "--at-most", "3", "--replace") ==
                        0
                }
            }
            check("it is finished while controllers are killed") { finishes() }
            check("every machine that was there is gone") { before.none { it.up } }
            check("tasks were interrupted") { observer.interruptions > 0 }
            check("no team was over its budget: ${observer.maxJobsInterrupted}") { observer.maxJobsInterrupted.values.all { it <= BUDGET } }
            check("no task was on two machines") { observer.ranTwice == 0 }
        } finally {
            controllers.endAll()
            cloud.stop()
            vertx.close()
        }
        println("${observer.interruptions} interruptions, ${checklist.elapsedS} s")
        return checklist.close()
    }

    private fun begin() {
        File(folder, "operator.hcl").writeText("drains {\n  default {\n    jobs = $BUDGET\n  }\n}\n")
        StateStandIn(vertx, deployment.statePort).start()
        cloud.start()
        cloud.bootAll(MACHINES)
        controllers.launchAll()
        check("all become healthy") { eventually(60) { client.allHealthy() } }
        repeat(MACHINES) { submit() }
        check("tasks run on every machine") { eventually(60) { observer.runningTasks() >= MACHINES } }
    }

    /** Of those that are provisioned later, one in four never comes up. */
    private fun worker(
        name: String,
        zone: String,
    ): WorkerStandIn {
        val neverBoots = workers.size >= MACHINES && workers.size % 4 == 0
        val profile = WorkerProfile(deployment.labels, LEASE_MS, RUN_MS, HEARTBEAT_MS, neverBoots)
        return WorkerStandIn(vertx, name, zone, deployment.freePort(), profile, observer).also { workers += it }
    }

    /** Until the drain is finished: work comes, and controllers are killed. */
    private fun finishes(): Boolean {
        var killAtS = checklist.elapsedS + 5
        return eventually(MAX_DRAIN_S) {
            submit()
            if (checklist.elapsedS >= killAtS) {
                killAtS = checklist.elapsedS + 6 + random.nextInt(8)
                controllers.restart(random.nextInt(deployment.zones.size))
            }
            Thread.sleep(2_000)
            drain("status", NAME) == 0 && File(folder, "drain.log").readText().contains("$NAME: finished")
        }
    }

    private fun submit() {
        val id = jobs++
        val job = submission(id, 2, InterruptionObserver.teamOf("j-$id/0"), guessS = RUN_MS / 1000.0).put("cores", 8.0)
        client.submitAnywhere(job.encode())
    }

    private fun check(
        what: String,
        test: () -> Boolean,
    ) = checklist.check(what, test)

    /** The command beside the service; its output is left in a file. */
    private fun drain(vararg args: String): Int {
        val line = command.dropLast(1) + "drain" + args + listOf("--config", controllers.settingsOf(0).path)
        return exitStatus(line, File(folder, "drain.log"))
    }

    private companion object {
        const val NAME = "all-out"
        const val BUDGET = 1
        const val MACHINES = 8
        const val RUN_MS = 60_000L
        const val LEASE_MS = 20_000L
        const val HEARTBEAT_MS = 400L
        const val MAX_DRAIN_S = 420L
        const val REFUSED = 2
    }
}
