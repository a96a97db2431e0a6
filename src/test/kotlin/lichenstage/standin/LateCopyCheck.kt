package lichenstage.standin

import io.vertx.core.Vertx
import io.vertx.core.VertxOptions
import io.vertx.core.json.JsonObject
import java.util.concurrent.atomic.AtomicInteger
import kotlin.system.exitProcess

/**
 * Checks on loopback that copies of answered direct orders start nothing: `LateCopyCheckKt`. Run by hand.
 *
 * Three controllers of the built jar run against the stand-ins. A copy of each answered order with starts reaches its worker
 * [COPY_DELAY_MS] later. Each job has a short and a long task and is cancelled when the short one is done, so that its copies come after the time
 * limit of its cancellation. Controllers are killed and started again at once meanwhile.
 */
fun main() {
    exitProcess(LateCopyCheck().run())
}

/** The time after which the copy of an order arrives, in milliseconds. */
private const val COPY_DELAY_MS = 35_000L

private class LateCopyCheck {
    private class CancelAt(
        val job: Int,
        val atS: Long,
    )

    private val vertx = Vertx.vertx(VertxOptions().setEventLoopPoolSize(1))
    private val deployment = Deployment(listOf("a", "b", "c"))
    private val client = ControllerClient(deployment)
    private val observer = CancellationObserver(CANCELLATION_LIMIT_MS)
    private val copiesOfCancelledJobs = AtomicInteger()
    private val copyingObserver =
        object : WorkerObserver by observer {
            override fun orderCopyDelayMs(tasks: List<String>) = COPY_DELAY_MS

            override fun onOrderCopyDue(tasks: List<String>) {
                if (tasks.any {
                        (
                            observer.timeSinceConfirmationMs(
                                it,
                            ) ?: 0
                        ) > CANCELLATION_LIMIT_MS
                    }
                ) {
                    copiesOfCancelledJobs.incrementAndGet()
                }
            }
        }
    private val workerProfile =
        WorkerProfile(deployment.portsByLabel, LEASE_MS, SHORT_TASK_MS, HEARTBEAT_INTERVAL_MS, oddTaskFactor = LONG_TASK_FACTOR)
    private val controllers =
        ControllerProcesses(deployment, createEmptyFolder("late-copy-check"), { deployedCommand() }, settings())
    private val cloud = CloudStandIn(vertx, deployment.cloudPort, deployment.zones, ::createWorker)
    private val checklist = Checklist()
    private val cancellations = ArrayDeque<CancelAt>()
    private var cancelledJobs = 0

    fun run(): Int {
        try {
            StateStandIn(vertx, deployment.statePort).start()
            cloud.start()
            cloud.bootMachines(MACHINE_COUNT)
            controllers.launchAll()
            checklist.check("all controllers become healthy") { eventually { client.areAllHealthy() } }
            submitAndCancelJobs()
            pauseUntil(checklist.elapsedS + COPY_DELAY_MS / 1000 + 1)
            checklist.check("jobs were cancelled while partly done: $cancelledJobs") { cancelledJobs >= JOB_COUNT / 2 }
            checklist.check("copies came after the time limit of a cancellation: ${copiesOfCancelledJobs.get()}") {
                copiesOfCancelledJobs.get() > 0
            }
            observer.violations.take(5).forEach(::println)
            checklist.check("no task of a cancelled job starts: ${observer.startsAfterConfirmation.get()} did") {
                observer.startsAfterConfirmation.get() == 0 && observer.violations.isEmpty()
            }
            checklist.check("all controller processes are still running") { controllers.areAllAlive }
        } finally {
            controllers.killAll()
            cloud.stop()
            vertx.close()
        }
        return checklist.printSummary()
    }

    private fun settings(): JsonObject {
        val workerSettings =
            JsonObject()
                .put("report_s", HEARTBEAT_INTERVAL_MS / 1000.0)
                .put("lease_s", LEASE_MS / 1000.0)
                .put("cancel_s", CANCELLATION_LIMIT_MS / 1000.0)
        return smallSettings("red" to 200.0).put("workers", workerSettings)
    }

    private fun createWorker(
        name: String,
        zone: String,
    ) = WorkerStandIn(vertx, name, zone, deployment.allocatePort(), workerProfile, copyingObserver)

    private fun submitAndCancelJobs() {
        for (job in 0 until JOB_COUNT) {
            val body = submission(job, TASKS_PER_JOB, "red", SHORT_TASK_MS / 1000.0).encode()
            if (client.submitToAny(body, job % deployment.zones.size)) cancellations += CancelAt(job, checklist.elapsedS + CANCEL_AFTER_S)
            if (job % JOBS_PER_RESTART == JOBS_PER_RESTART - 1) controllers.restart(job / JOBS_PER_RESTART % deployment.zones.size)
            pauseUntil(checklist.elapsedS + 1)
        }
        while (cancellations.isNotEmpty()) pauseUntil(checklist.elapsedS + 1)
    }

    /** Lets the observer check the running tasks, and cancels the jobs that are due, until [untilS]. */
    private fun pauseUntil(untilS: Long) {
        while (checklist.elapsedS < untilS) {
            observer.checkRunningTasks()
            while (cancellations.isNotEmpty() && cancellations.first().atS <= checklist.elapsedS) cancel(cancellations.removeFirst().job)
            Thread.sleep(CHECK_INTERVAL_MS)
        }
    }

    /** Cancels the job and tells the observer once a controller has confirmed the cancellation. */
    private fun cancel(job: Int) {
        val isConfirmed =
            eventually(CANCEL_TIMEOUT_S) {
                deployment.zones.indices.any { client.statusCode(it, "POST", "/api/jobs/j-$job/cancel") == 200 }
            }
        if (!isConfirmed || deployment.zones.indices.any { client.jobStatus(it, job) == "done" }) return
        cancelledJobs++
        observer.onCancellationConfirmed("j-$job")
    }

    private companion object {
        const val MACHINE_COUNT = 12
        const val JOB_COUNT = 30
        const val TASKS_PER_JOB = 2

        /** A controller is killed and started again after each this many jobs. */
        const val JOBS_PER_RESTART = 12
        const val HEARTBEAT_INTERVAL_MS = 2_000L
        const val LEASE_MS = 10_000L
        const val CANCELLATION_LIMIT_MS = 20_000L
        const val SHORT_TASK_MS = 2_000L
        const val LONG_TASK_FACTOR = 20
        const val CANCEL_AFTER_S = 8L
        const val CANCEL_TIMEOUT_S = 20L
        const val CHECK_INTERVAL_MS = 100L
    }
}
