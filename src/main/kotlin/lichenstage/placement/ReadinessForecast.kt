package lichenstage.placement

import lichenstage.common.SECOND
import lichenstage.model.JobSpec

/**
 * Forecasts when blocked jobs will be ready: at the end of the longest chain of their dependencies, by expected run times.
 *
 * Machines take a while to boot. With this forecast the fleet has them when a stage becomes ready, and not a boot time later.
 */
class ReadinessForecast(
    private val runTimes: RunTimeEstimates,
    private val fetchUs: (JobSpec) -> Long,
    private val jobOf: (String) -> Job?,
) {
    /** The forecast as of [now]: what several jobs share is computed once. */
    inner class Snapshot(
        private val now: Long,
    ) {
        private val ends =
            GraphFold<Job, Long>(::openDependencies) { job, dependencies, endsUs ->
                endUs(
                    job,
                    dependencies.maxOfOrNull { endsUs.getValue(it) } ?: now,
                )
            }

        /** When all dependencies of [job] are expected to be complete, on the steady clock. */
        fun readyUs(job: Job): Long = openDependencies(job).maxOfOrNull { ends.valueOf(it) + STAGE_TRANSITION_US } ?: now

        /** Dependencies that are not open any more delay nothing. */
        private fun openDependencies(job: Job): List<Job> =
            if (job.isReady) {
                emptyList()
            } else {
                job.spec.dependencies
                    .mapNotNull(jobOf)
                    .filter { it.phase == JobPhase.OPEN }
            }

        private fun endUs(
            job: Job,
            dependenciesEndUs: Long,
        ): Long {
            val runUs = runTimes.expectedUs(job.spec)
            if (!job.isReady) return maxOf(dependenciesEndUs + STAGE_TRANSITION_US, now) + fetchUs(job.spec) + runUs
            val isWaiting = !job.isPlaceable || !job.pendingTasks.isEmpty
            val startedUs = if (isWaiting) now else job.lastPlacedAtUs
            return maxOf(startedUs + fetchUs(job.spec) + runUs, now)
        }
    }

    companion object {
        /** Time from the end of one stage until the tasks of the next run: its record, a round of requests. */
        const val STAGE_TRANSITION_US = 4 * SECOND
    }
}
