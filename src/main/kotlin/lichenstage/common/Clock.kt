package lichenstage.common

import java.util.concurrent.TimeUnit

/** A monotonic clock in whole microseconds. Its origin is arbitrary: only differences are meaningful, and only within one process. */
fun interface Clock {
    /** The current time in microseconds. */
    fun now(): Long

    companion object {
        /** The clock of the JVM. */
        val steady = Clock { System.nanoTime() / 1000 }
    }
}

/** Microseconds in a millisecond. */
const val MILLI = 1_000L

/** Microseconds in a second. */
const val SECOND = 1_000_000L

private const val DRIFT_DIVISOR = 500

/**
 * An upper bound for how long [micros] of one machine last on the clock of another. Steady clocks drift by up to 0.05% each; 0.2%
 * allows for two of them and a margin.
 */
fun withDrift(micros: Long) = micros + micros / DRIFT_DIVISOR

/** The wall-clock time in microseconds since the epoch. For records: monotonic times mean nothing in another process. */
fun timeOfDayUs(): Long = TimeUnit.MILLISECONDS.toMicros(System.currentTimeMillis())
