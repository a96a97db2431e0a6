package lichenstage.placement

import lichenstage.model.JobSpec
import kotlin.math.exp
import kotlin.math.ln

/**
 * How long tasks really run. Owners' estimates are the prior; how far those of a class are off on the whole is learned from
 * its completions, since on some days they are mostly too high or mostly too low.
 */
class RunTimeEstimates {
    private class Bias(
        var sum: Double = 0.0,
        var weight: Double = 0.0,
    )

    private val byClass = HashMap<String, Bias>()

    /** A task of [spec] ran for [ranUs]. */
    fun recordCompletion(
        spec: JobSpec,
        ranUs: Long,
    ) {
        if (spec.estimatedRunTimeUs <= 0 || ranUs <= 0) return
        val bias = byClass.getOrPut(spec.jobClass) { Bias() }
        val ratio = ln(ranUs.toDouble() / spec.estimatedRunTimeUs).coerceIn(-LARGEST, LARGEST)
        // One task of a large job says less than one of a small job: all of a job's tasks share its estimate.
        val weight = 1.0 / spec.tasks
        bias.sum = bias.sum * (1 - weight / MEMORY) + ratio * weight
        bias.weight = bias.weight * (1 - weight / MEMORY) + weight
    }

    /** How long a task of the job is expected to run. */
    fun expectedUs(spec: JobSpec): Long {
        val bias = byClass[spec.jobClass] ?: return spec.estimatedRunTimeUs
        return (spec.estimatedRunTimeUs * exp(bias.sum / (bias.weight + PRIOR))).toLong()
    }

    private companion object {
        /** Nobody is off by more than this factor (its logarithm) on the whole. */
        const val LARGEST = 1.5

        /** Jobs until the learned bias counts half. */
        const val PRIOR = 3.0

        /** Jobs after which what was learned has mostly faded. */
        const val MEMORY = 30.0
    }
}
