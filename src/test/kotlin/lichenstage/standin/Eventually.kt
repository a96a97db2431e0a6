package lichenstage.standin

import java.util.concurrent.TimeUnit

/** Repeats [test] until it is true; false where it is not within [withinS] seconds. */
internal fun eventually(
    withinS: Long = 60,
    test: () -> Boolean,
): Boolean {
    val until = System.nanoTime() + TimeUnit.SECONDS.toNanos(withinS)
    while (System.nanoTime() < until) {
        if (test()) return true
        Thread.sleep(100)
    }
    return false
}
