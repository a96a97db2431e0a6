package lichenstage.fleet

import lichenstage.common.SECOND
import kotlin.math.exp
import kotlin.math.sqrt

/**
 * What a job that was just accepted, or has become ready, will use of machines of one type.
 *
 * @property arrivedAtUs when it can begin, on the steady clock
 * @property machines the machines that it uses while it runs
 * @property runUs how long it uses them, in microseconds
 * @property isUrgent it must start sooner than a machine of the type boots
 */
data class JobArrival(
    val typeName: String,
    val arrivedAtUs: Long,
    val machines: Double,
    val runUs: Long,
    val isUrgent: Boolean,
)

/**
 * Forecasts how many machines the jobs to come will use, from recent arrivals with exponentially decaying weight. Where no job comes
 * for much longer than is usual, no more are expected.
 *
 * For urgent jobs the machines for the variation of their use must be there beforehand: one standard deviation, that of many independent
 * jobs that each use their machines for their run time (Campbell's theorem). For the others the queue evens it out.
 *
 * @param startedAtUs when the term began; arrivals before it are hardly known
 * @param windowUs the time constant of the decay
 */
class DemandForecast(
    private val startedAtUs: Long,
    private val windowUs: Long = WINDOW_US,
) {
    /** A sum in which what was added loses weight with time. */
    private class DecayingSum(
        private val windowUs: Long,
    ) {
        private var value = 0.0
        private var updatedAtUs = Long.MIN_VALUE / 2

        fun add(
            amount: Double,
            nowUs: Long,
        ) {
            value = valueAt(nowUs) + amount
            updatedAtUs = nowUs
        }

        fun valueAt(nowUs: Long) = value * exp(-(nowUs - updatedAtUs).coerceAtLeast(0).toDouble() / windowUs)
    }

    /** The arrivals of one machine type: machine time of urgent jobs, its second moment, machine time of the others, and their number. */
    private class Arrivals(
        windowUs: Long,
    ) {
        val urgentWork = DecayingSum(windowUs)
        val urgentVariance = DecayingSum(windowUs)
        val nonUrgentWork = DecayingSum(windowUs)
        val jobCount = DecayingSum(windowUs)
        var lastArrivalAtUs = Long.MIN_VALUE / 2
    }

    private val arrivalsByType = HashMap<String, Arrivals>()

    /** A job has been accepted, or has become ready. */
    fun recordArrival(arrival: JobArrival) {
        val arrivals = arrivalsByType.getOrPut(arrival.typeName) { Arrivals(windowUs) }
        val nowUs = maxOf(arrival.arrivedAtUs, startedAtUs - windowUs)
        val work = arrival.machines * arrival.runUs
        if (arrival.isUrgent) {
            arrivals.urgentWork.add(work, nowUs)
            arrivals.urgentVariance.add(arrival.machines * work, nowUs)
        } else {
            arrivals.nonUrgentWork.add(work, nowUs)
        }
        arrivals.jobCount.add(1.0, nowUs)
        arrivals.lastArrivalAtUs = maxOf(arrivals.lastArrivalAtUs, nowUs)
    }

    /** No job came for so long that it is not by chance. */
    fun hasCeased(
        typeName: String,
        nowUs: Long,
    ): Boolean {
        val arrivals = arrivalsByType[typeName] ?: return true
        return (nowUs - arrivals.lastArrivalAtUs) * arrivals.jobCount.valueAt(arrivals.lastArrivalAtUs) / windowUs > CEASED_AFTER_JOBS
    }

    /** Machines in use on average, and for urgent jobs nearly always, where [utilization] of a machine's time can be filled. */
    fun expectedMachines(
        typeName: String,
        utilization: Double,
        nowUs: Long,
    ): Double {
        val arrivals = arrivalsByType[typeName] ?: return 0.0
        if (hasCeased(typeName, nowUs)) return 0.0
        val urgent = arrivals.urgentWork.valueAt(nowUs) / windowUs
        val deviation = sqrt(arrivals.urgentVariance.valueAt(nowUs) / windowUs)
        return urgent + HELD_DEVIATIONS * deviation + arrivals.nonUrgentWork.valueAt(nowUs) / windowUs / utilization
    }

    /** Arrivals before this term are not known: for a while too few machines are expected. */
    fun isLearning(nowUs: Long) = nowUs - startedAtUs < windowUs

    private companion object {
        const val WINDOW_US = 100 * SECOND

        /** Standard deviations of the use of urgent jobs that are held beside its mean. */
        const val HELD_DEVIATIONS = 1.0

        /** Arrivals have ceased when so many jobs would have been expected since the last. */
        const val CEASED_AFTER_JOBS = 8.0
    }
}
