package lichenstage.standin

import java.util.concurrent.TimeUnit

/** Evaluates [condition] every 100 ms until it is true. Returns false if it is not true within [timeoutS] seconds. */
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
