package lichenstage.standin

import java.util.concurrent.TimeUnit

/** Repeats [condition] until it is true; false where it is not within [timeoutS] seconds. */
internal fun eventually(
    timeoutS: Long = 60,
    condition: () -> Boolean,
): Boolean {
    val deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(timeoutS)
    while (System.nanoTime() < deadlineNs) {
        if (condition()) return true
        Thread.sleep(100)
    }
    return false
}
