package lichenstage.standin

import java.util.concurrent.TimeUnit

/** Runs checks one after the other and prints the result of each, and a summary at the end. */
internal class Checklist {
    private val startedAtNs = System.nanoTime()
    private var passed = 0
    private var failed = 0

    /** The seconds since the checklist was created. */
    val elapsedS get() = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - startedAtNs)

    /** Evaluates [condition], and prints and counts the result. */
    fun check(
        description: String,
        condition: () -> Boolean,
    ) {
        val isMet = condition()
        println("${if (isMet) "ok  " else "FAIL"} $description ($elapsedS s)")
        if (isMet) passed++ else failed++
    }

    /** Prints how many checks passed and failed, and returns the exit status: 0 if all passed, else 1. */
    fun printSummary(): Int {
        println("$passed passed, $failed failed")
        return if (failed == 0) 0 else 1
    }
}
