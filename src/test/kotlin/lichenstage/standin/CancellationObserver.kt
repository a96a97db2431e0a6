package lichenstage.standin

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** Finds what workers do for jobs whose cancellation was confirmed more than [cancelMs] ago. */
internal class CancellationObserver(
    private val cancelMs: Long,
) : WorkerObserver {
    private val confirmedNs = ConcurrentHashMap<String, Long>()
    private val running = ConcurrentHashMap.newKeySet<String>()

    /** Starts of tasks after the confirmation, within the time that a cancellation has. */
    val startsAfterConfirmation = AtomicInteger()
    val violations = ConcurrentLinkedQueue<String>()

    /** A user was told that the job is cancelled. */
    fun confirmed(job: String) {
        confirmedNs[job] = System.nanoTime()
    }

    /** How long ago the cancellation of the task's job was confirmed; null where it was not. */
    fun sinceConfirmationMs(task: String): Long? =
        confirmedNs[task.substringBefore('/')]?.let { TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - it) }

    override fun started(
        task: String,
        machine: String,
    ) {
        running += "$task $machine"
        val sinceMs = sinceConfirmationMs(task) ?: return
        startsAfterConfirmation.incrementAndGet()
        if (sinceMs > cancelMs) violations += "$task started on $machine $sinceMs ms after its cancellation"
    }

    override fun ended(
        task: String,
        machine: String,
    ) {
        running -= "$task $machine"
    }

    /** Nothing of a cancelled job may be left once its time is over. */
    fun check() {
        for (taskAndMachine in running) {
            val sinceMs = sinceConfirmationMs(taskAndMachine.substringBefore(' ')) ?: continue
            if (sinceMs > cancelMs) violations += "$taskAndMachine is on its machine $sinceMs ms after its cancellation"
        }
    }
}
