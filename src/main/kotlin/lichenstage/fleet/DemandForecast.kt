package lichenstage.fleet

import lichenstage.common.SECOND
import kotlin.math.exp
import kotlin.math.sqrt

/** What a job that was just accepted will ask of machines of one type. [urgent]: its start is promised sooner than one boots. */
data class JobArrival(
    val typeName: String,
    val atUs: Long,
    val machines: Double,
    val runUs: Long,
    val urgent: Boolean,
)

/**
 * How many machines the jobs that keep coming will use. What came lately counts most; where nothing comes for much longer than is
 * usual, nothing more is expected.
 *
 * For jobs whose start is promised sooner than a machine boots, their variation has to be there beforehand: one standard
 * deviation, that of many independent jobs that each take their machines for their run time (Campbell's theorem). For the others
 * the queue evens it out.
 */
class DemandForecast(
    private val sinceUs: Long,
    private val memoryUs: Long = MEMORY_US,
) {
    private class Faded {
        private var value = 0.0
        private var atUs = Long.MIN_VALUE / 2

        fun add(
            amount: Double,
            now: Long,
            memoryUs: Long,
        ) {
            value = at(now, memoryUs) + amount
            atUs = now
        }

        fun at(
            now: Long,
            memoryUs: Long,
        ) = value * exp(-(now - atUs).coerceAtLeast(0).toDouble() / memoryUs)
    }

    private class Flow {
        val urgent = Faded()
        val urgentSquares = Faded()
        val other = Faded()
        val jobs = Faded()
        var lastUs = Long.MIN_VALUE / 2
    }

    private val flows = HashMap<String, Flow>()

    /** A job has been accepted, or has become ready. */
    fun arrived(arrival: JobArrival) {
        val flow = flows.getOrPut(arrival.typeName) { Flow() }
        val now = maxOf(arrival.atUs, sinceUs - memoryUs)
        val work = arrival.machines * arrival.runUs
        if (arrival.urgent) {
            flow.urgent.add(work, now, memoryUs)
            flow.urgentSquares.add(arrival.machines * work, now, memoryUs)
        } else {
            flow.other.add(work, now, memoryUs)
        }
        flow.jobs.add(1.0, now, memoryUs)
        flow.lastUs = maxOf(flow.lastUs, now)
    }

    /** Nothing came for so long that by chance it would not happen. */
    fun over(
        typeName: String,
        now: Long,
    ): Boolean {
        val flow = flows[typeName] ?: return true
        return (now - flow.lastUs) * flow.jobs.at(flow.lastUs, memoryUs) / memoryUs > SILENT_JOBS
    }

    /** Machines that will be in use on average and, for urgent jobs, nearly always; [fill] is the part of their time that can be. */
    fun machines(
        typeName: String,
        fill: Double,
        now: Long,
    ): Double {
        val flow = flows[typeName] ?: return 0.0
        if (over(typeName, now)) return 0.0
        val urgent = flow.urgent.at(now, memoryUs) / memoryUs
        val spread = sqrt(flow.urgentSquares.at(now, memoryUs) / memoryUs)
        return urgent + DEVIATIONS * spread + flow.other.at(now, memoryUs) / memoryUs / fill
    }

    /** What a leader before this one has seen come is not known: for a while too little is expected. */
    fun learning(now: Long) = now - sinceUs < memoryUs

    private companion object {
        const val MEMORY_US = 100 * SECOND
        const val DEVIATIONS = 1.0
        const val SILENT_JOBS = 8.0
    }
}
