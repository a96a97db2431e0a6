package lichenstage.standin

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/**
 * Detects tasks of cancelled jobs that start or still run on a worker more than [cancellationLimitMs] after a controller confirmed the
 * cancellation.
 */
internal class CancellationObserver(
    private val cancellationLimitMs: Long,
) : WorkerObserver {
    private val confirmedAtNs = ConcurrentHashMap<String, Long>()
    private val runningTasks = ConcurrentHashMap.newKeySet<String>()

    /** The number of task starts after the confirmed cancellation of their job, both within [cancellationLimitMs] and later. */
    val startsAfterConfirmation = AtomicInteger()

    /** One message per task start after the time limit, and one per check that finds a task still running after it. */
    val violations = ConcurrentLinkedQueue<String>()

    /** Records that a controller has confirmed the cancellation of [job] to the user. */
    fun onCancellationConfirmed(job: String) {
        confirmedAtNs[job] = System.nanoTime()
    }

    /** Returns the milliseconds since the cancellation of the task's job was confirmed, or null if it was not. */
    fun timeSinceConfirmationMs(task: String): Long? =
        confirmedAtNs[task.substringBefore('/')]?.let { TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - it) }

    override fun onTaskStarted(
        task: String,
        machine: String,
    ) {
        runningTasks += "$task $machine"
        val elapsedMs = timeSinceConfirmationMs(task) ?: return
        startsAfterConfirmation.incrementAndGet()
        if (elapsedMs > cancellationLimitMs) violations += "$task started on $machine $elapsedMs ms after the cancellation of its job"
    }

    override fun onTaskEnded(
        task: String,
        machine: String,
    ) {
        runningTasks -= "$task $machine"
    }

    /** Records a violation for each task of a cancelled job that still runs after the time limit. */
    fun checkRunningTasks() {
        for (taskAndMachine in runningTasks) {
            val elapsedMs = timeSinceConfirmationMs(taskAndMachine.substringBefore(' ')) ?: continue
            if (elapsedMs > cancellationLimitMs) violations += "$taskAndMachine still runs $elapsedMs ms after the cancellation of its job"
        }
    }
}
