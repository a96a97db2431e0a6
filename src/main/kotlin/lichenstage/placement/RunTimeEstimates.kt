package lichenstage.placement

import lichenstage.model.JobSpec
import kotlin.math.exp
import kotlin.math.ln

/**
 * The expected run times of tasks.
 *
 * They start from the users' estimates, which are corrected by the mean error of the estimates in the same job class. This error is learned
 * from completed tasks, because on some days the estimates are mostly too high or mostly too low.
 */
class RunTimeEstimates {
    /** The weighted sum of the logarithms of run time divided by estimate. Old completions lose their weight. */
    private class LogRatio(
        var sum: Double = 0.0,
        var weight: Double = 0.0,
    )

    private val logRatioByClass = HashMap<String, LogRatio>()

    /** Records that a task of the job has completed with a run time of [actualRunTimeUs]. */
    fun recordCompletion(
        spec: JobSpec,
        actualRunTimeUs: Long,
    ) {
        if (spec.estimatedRunTimeUs <= 0 || actualRunTimeUs <= 0) return
        val logRatio = logRatioByClass.getOrPut(spec.jobClass) { LogRatio() }
        val ratio = ln(actualRunTimeUs.toDouble() / spec.estimatedRunTimeUs).coerceIn(-MAX_LOG_RATIO, MAX_LOG_RATIO)
        // All tasks of a job share one estimate, so a task of a large job counts less than a task of a small job.
        val weight = 1.0 / spec.taskCount
        logRatio.sum = logRatio.sum * (1 - weight / DECAY_JOBS) + ratio * weight
        logRatio.weight = logRatio.weight * (1 - weight / DECAY_JOBS) + weight
    }

    /** Returns the expected run time of one task of the job, in microseconds. */
    fun expectedRunTimeUs(spec: JobSpec): Long {
        val logRatio = logRatioByClass[spec.jobClass] ?: return spec.estimatedRunTimeUs
        return (spec.estimatedRunTimeUs * exp(logRatio.sum / (logRatio.weight + PRIOR_WEIGHT_JOBS))).toLong()
    }

    private companion object {
        /** The largest error that is learned from one task, as the natural logarithm of run time divided by estimate. */
        const val MAX_LOG_RATIO = 1.5

        /** The number of completed jobs after which the learned error counts half. */
        const val PRIOR_WEIGHT_JOBS = 3.0

        /** The number of further jobs after which a completion has lost most of its weight. */
        const val DECAY_JOBS = 30.0
    }
}
