package lichenstage.standin

import java.util.concurrent.TimeUnit

/** Asks again and again until it is so, or the time is over. */
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
