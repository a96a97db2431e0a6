package lichenstage.common

import java.util.concurrent.TimeUnit

/** A monotonic clock in whole microseconds. Its origin is arbitrary, so only differences between times of one process are meaningful. */
fun interface Clock {
    /** Returns the current time in microseconds. */
    fun now(): Long

    companion object {
        /** The monotonic clock of the JVM. */
        val steady = Clock { System.nanoTime() / 1000 }
    }
}

/** One millisecond in microseconds. */
const val MILLI = 1_000L

/** One second in microseconds. */
const val SECOND = 1_000_000L

private const val DRIFT_DIVISOR = 500

/**
 * Returns an upper bound for a duration of [durationUs] on one machine's clock, as measured by the clock of another machine. The monotonic
 * clock of a machine drifts by up to 0.05%. The bound adds 0.2%, which covers two clocks and a margin.
 */
fun withDrift(durationUs: Long) = durationUs + durationUs / DRIFT_DIVISOR

/**
 * Returns the wall-clock time in microseconds since the epoch. Stored records need it, because monotonic times are valid in one process
 * only.
 */
fun timeOfDayUs(): Long = TimeUnit.MILLISECONDS.toMicros(System.currentTimeMillis())
