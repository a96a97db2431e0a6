package lichenstage.standin

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** Finds what workers do for jobs whose cancellation was confirmed more than [cancellationLimitMs] ago. */
internal class CancellationObserver(
    private val cancellationLimitMs: Long,
) : WorkerObserver {
    private val confirmedAtNs = ConcurrentHashMap<String, Long>()
    private val runningTasks = ConcurrentHashMap.newKeySet<String>()

    /** Starts of tasks after the confirmation, within the time that a cancellation has. */
    val startsAfterConfirmation = AtomicInteger()
    val violations = ConcurrentLinkedQueue<String>()

    /** A user was told that the job is cancelled. */
    fun onCancellationConfirmed(job: String) {
        confirmedAtNs[job] = System.nanoTime()
    }

    /** How long ago the cancellation of the task's job was confirmed; null where it was not. */
    fun timeSinceConfirmationMs(task: String): Long? =
        confirmedAtNs[task.substringBefore('/')]?.let { TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - it) }

    override fun onTaskStarted(
        task: String,
        machine: String,
    ) {
        runningTasks += "$task $machine"
        val elapsedMs = timeSinceConfirmationMs(task) ?: return
        startsAfterConfirmation.incrementAndGet()
        if (elapsedMs > cancellationLimitMs) violations += "$task started on $machine $elapsedMs ms after its cancellation"
    }

    override fun onTaskEnded(
        task: String,
        machine: String,
    ) {
        runningTasks -= "$task $machine"
    }

    /** Nothing of a cancelled job may be left once its time is over. */
    fun checkRunningTasks() {
        for (taskAndMachine in runningTasks) {
            val elapsedMs = timeSinceConfirmationMs(taskAndMachine.substringBefore(' ')) ?: continue
            if (elapsedMs > cancellationLimitMs) violations += "$taskAndMachine is on its machine $elapsedMs ms after its cancellation"
        }
    }
}
