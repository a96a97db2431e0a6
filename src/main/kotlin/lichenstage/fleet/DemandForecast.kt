package lichenstage.fleet

import lichenstage.common.SECOND
import kotlin.math.exp
import kotlin.math.sqrt

/**
 * The expected machine use of a job that was just accepted or has become ready.
 *
 * @property arrivedAtUs when the job can start, on the steady clock
 * @property machines the number of machines that the job uses while it runs
 * @property runUs how long the job uses the machines, in microseconds
 * @property isUrgent whether the job must start sooner than a machine of the type can boot
 */
data class JobArrival(
    val typeName: String,
    val arrivedAtUs: Long,
    val machines: Double,
    val runUs: Long,
    val isUrgent: Boolean,
)

/**
 * Forecasts how many machines future jobs will use. The forecast is based on recent arrivals, whose weight decays exponentially. If no job
 * arrives for much longer than usual, the forecast is 0.
 *
 * Urgent jobs cannot wait for a machine to boot, so the forecast for them covers the variation of their use as well: it adds one standard
 * deviation. This is the deviation of many independent jobs that each use their machines for their run time (Campbell's theorem). For
 * other jobs, the queue evens out the variation.
 *
 * @param startedAtUs when the term started; most arrivals before it are unknown
 * @param windowUs the time constant of the decay
 */
class DemandForecast(
    private val startedAtUs: Long,
    private val windowUs: Long = WINDOW_US,
) {
    /** A sum whose terms lose weight exponentially with time. */
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

    /**
     * The arrivals for one machine type: the machine time of urgent jobs and its second moment, the machine time of all other jobs, and
     * the number of jobs.
     */
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

    /** Records that a job has been accepted or has become ready. */
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

    /** Returns whether no job has arrived for so long that chance cannot explain it. */
    fun hasCeased(
        typeName: String,
        nowUs: Long,
    ): Boolean {
        val arrivals = arrivalsByType[typeName] ?: return true
        return (nowUs - arrivals.lastArrivalAtUs) * arrivals.jobCount.valueAt(arrivals.lastArrivalAtUs) / windowUs > CEASED_AFTER_JOBS
    }

    /**
     * Returns how many machines future jobs will use: the mean, plus one standard deviation for urgent jobs. The machines for other jobs
     * are divided by [utilization], the part of a machine's time that can be filled.
     */
    fun expectedMachines(
        typeName: String,
        utilization: Double,
        nowUs: Long,
    ): Double {
        val arrivals = arrivalsByType[typeName] ?: return 0.0
        if (hasCeased(typeName, nowUs)) return 0.0
        val urgentMachines = arrivals.urgentWork.valueAt(nowUs) / windowUs
        val deviation = sqrt(arrivals.urgentVariance.valueAt(nowUs) / windowUs)
        return urgentMachines + HELD_DEVIATIONS * deviation + arrivals.nonUrgentWork.valueAt(nowUs) / windowUs / utilization
    }

    /** Returns whether the forecast is still too low because the arrivals before this term are unknown. */
    fun isLearning(nowUs: Long) = nowUs - startedAtUs < windowUs

    private companion object {
        const val WINDOW_US = 100 * SECOND

        /** The number of standard deviations of the use of urgent jobs that the forecast adds to the mean. */
        const val HELD_DEVIATIONS = 1.0

        /** Arrivals have ceased once this many jobs would have been expected since the last one. */
        const val CEASED_AFTER_JOBS = 8.0
    }
}
