package lichenstage.common

import java.util.concurrent.TimeUnit

/** Steady time in whole microseconds. Its zero means nothing; only differences do. */
fun interface Clock {
    /** The time in whole microseconds. */
    fun now(): Long

    companion object {
        val steady = Clock { System.nanoTime() / 1000 }
    }
}

const val MILLI = 1_000L
const val SECOND = 1_000_000L

/** Steady clocks run apart by up to 0.05%: two of them, and some room, are allowed for in every comparison. */
fun withDrift(micros: Long) = micros + micros / 500

/** The time of day in whole microseconds, for records: it is the only time that means something in another process. */
fun timeOfDayUs(): Long = TimeUnit.MILLISECONDS.toMicros(System.currentTimeMillis())
