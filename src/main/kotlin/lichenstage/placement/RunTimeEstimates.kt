package lichenstage.placement

import lichenstage.model.JobSpec
import kotlin.math.exp
import kotlin.math.ln

/**
 * Expected run times of tasks. The owners' estimates are the prior; the mean error of the estimates of a class is learned from its
 * completions, since on some days they are mostly too high or mostly too low.
 */
class RunTimeEstimates {
    /** The weighted sum of the logarithms of run time by estimate, which forgets old completions. */
    private class LogRatio(
        var sum: Double = 0.0,
        var weight: Double = 0.0,
    )

    private val logRatioByClass = HashMap<String, LogRatio>()

    /** A task of the job has completed after [actualRunTimeUs]. */
    fun recordCompletion(
        spec: JobSpec,
        actualRunTimeUs: Long,
    ) {
        if (spec.estimatedRunTimeUs <= 0 || actualRunTimeUs <= 0) return
        val logRatio = logRatioByClass.getOrPut(spec.jobClass) { LogRatio() }
        val ratio = ln(actualRunTimeUs.toDouble() / spec.estimatedRunTimeUs).coerceIn(-MAX_LOG_RATIO, MAX_LOG_RATIO)
        // One task of a large job says less than one of a small job: all of a job's tasks share its estimate.
        val weight = 1.0 / spec.tasks
        logRatio.sum = logRatio.sum * (1 - weight / DECAY_JOBS) + ratio * weight
        logRatio.weight = logRatio.weight * (1 - weight / DECAY_JOBS) + weight
    }

    /** Expected run time of one task of the job, in microseconds. */
    fun expectedRunTimeUs(spec: JobSpec): Long {
        val logRatio = logRatioByClass[spec.jobClass] ?: return spec.estimatedRunTimeUs
        return (spec.estimatedRunTimeUs * exp(logRatio.sum / (logRatio.weight + PRIOR_WEIGHT_JOBS))).toLong()
    }

    private companion object {
        /** The logarithm of the largest factor by which the estimates of a class are taken to be off. */
        const val MAX_LOG_RATIO = 1.5

        /** After so many jobs the learned error counts half. */
        const val PRIOR_WEIGHT_JOBS = 3.0

        /** After so many further jobs a completion has lost most of its weight. */
        const val DECAY_JOBS = 30.0
    }
}
