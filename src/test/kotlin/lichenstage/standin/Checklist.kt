package lichenstage.standin

import java.util.concurrent.TimeUnit

/** Runs checks one after the other and prints each result, and in the end how many passed and failed. */
internal class Checklist {
    private val startedAtNs = System.nanoTime()
    private var passed = 0
    private var failed = 0

    val elapsedS get() = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - startedAtNs)

    fun check(
        description: String,
        condition: () -> Boolean,
    ) {
        val isMet = condition()
        println("${if (isMet) "ok  " else "FAIL"} $description ($elapsedS s)")
        if (isMet) passed++ else failed++
    }

    /** Prints the counts and returns the status to exit with. */
    fun printSummary(): Int {
        println("$passed passed, $failed failed")
        return if (failed == 0) 0 else 1
    }
}
