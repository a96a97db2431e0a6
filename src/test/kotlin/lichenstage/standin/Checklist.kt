package lichenstage.standin

import java.util.concurrent.TimeUnit

/** Runs checks one after the other and prints each result, and in the end how many passed and failed. */
internal class Checklist {
    private val beganNs = System.nanoTime()
    private var passed = 0
    private var failed = 0

    val elapsedS get() = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - beganNs)

    fun check(
        what: String,
        test: () -> Boolean,
    ) {
        val ok = test()
        println("${if (ok) "ok  " else "FAIL"} $what ($elapsedS s)")
        if (ok) passed++ else failed++
    }

    /** Prints the counts and returns the status to exit with. */
    fun close(): Int {
        println("$passed passed, $failed failed")
        return if (failed == 0) 0 else 1
    }
}
