package lichenstage.placement

import lichenstage.common.SECOND
import lichenstage.model.JobSpec

/**
 * Expects when jobs that wait for others will be ready: at the end of the longest chain of what they need, by expected run times.
 *
 * Machines take a while to boot. With this the fleet has them when a stage becomes ready, and not a boot time later.
 */
class ReadinessForecast(
    private val runTimes: RunTimeEstimates,
    private val fetchUs: (JobSpec) -> Long,
    private val jobOf: (String) -> Job?,
) {
    /** The state of the jobs at [now]: what several jobs share is worked out once. */
    inner class Snapshot(
        private val now: Long,
    ) {
        private val ends =
            GraphFold<Job, Long>(::neededBy) { job, needed, known ->
                endUs(
                    job,
                    needed.maxOfOrNull { known.getValue(it) } ?: now,
                )
            }

        /** When all that [job] needs is expected to be done. */
        fun readyUs(job: Job): Long = neededBy(job).maxOfOrNull { ends.of(it) + STAGE_US } ?: now

        /** The open jobs that it needs; what is not open any more does not hold it up. */
        private fun neededBy(job: Job): List<Job> =
            if (job.ready) {
                emptyList()
            } else {
                job.spec.dependencies
                    .mapNotNull(jobOf)
                    .filter { it.phase == JobPhase.OPEN }
            }

        private fun endUs(
            job: Job,
            neededUs: Long,
        ): Long {
            val runUs = runTimes.expectedUs(job.spec)
            if (!job.ready) return maxOf(neededUs + STAGE_US, now) + fetchUs(job.spec) + runUs
            val waits = !job.placeable || !job.pending.isEmpty
            val beganUs = if (waits) now else job.placedUs
            return maxOf(beganUs + fetchUs(job.spec) + runUs, now)
        }
    }

    companion object {
        /** From the end of one stage until the tasks of the next run: its record, a round of requests. */
        const val STAGE_US = 4 * SECOND
    }
}
