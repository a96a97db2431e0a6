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
    private val findJob: (String) -> Job?,
) {
    /** The forecast as of [nowUs]: what several jobs share is computed once. */
    inner class Snapshot(
        private val nowUs: Long,
    ) {
        private val endTimes =
            GraphFold<Job, Long>(::openDependencies) { job, dependencies, endAtUsByJob ->
                endAtUs(
                    job,
                    dependencies.maxOfOrNull { endAtUsByJob.getValue(it) } ?: nowUs,
                )
            }

        /** When all dependencies of [job] are expected to be complete, on the steady clock. */
        fun readyAtUs(job: Job): Long = openDependencies(job).maxOfOrNull { endTimes.valueOf(it) + STAGE_TRANSITION_US } ?: nowUs

        /** Dependencies that are not open any more delay nothing. */
        private fun openDependencies(job: Job): List<Job> =
            if (job.isReady) {
                emptyList()
            } else {
                job.spec.dependencies
                    .mapNotNull(findJob)
                    .filter { it.phase == JobPhase.OPEN }
            }

        private fun endAtUs(
            job: Job,
            dependenciesEndAtUs: Long,
        ): Long {
            val runUs = runTimes.expectedRunTimeUs(job.spec)
            if (!job.isReady) return maxOf(dependenciesEndAtUs + STAGE_TRANSITION_US, nowUs) + fetchUs(job.spec) + runUs
            val isWaiting = !job.isPlaceable || !job.pendingTasks.isEmpty
            val startedAtUs = if (isWaiting) nowUs else job.lastPlacedAtUs
            return maxOf(startedAtUs + fetchUs(job.spec) + runUs, nowUs)
        }
    }

    companion object {
        /** Time from the end of one stage until the tasks of the next run: its record, a round of requests. */
        const val STAGE_TRANSITION_US = 4 * SECOND
    }
}
