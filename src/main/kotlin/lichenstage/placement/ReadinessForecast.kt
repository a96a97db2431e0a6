package lichenstage.placement

import lichenstage.common.SECOND
import lichenstage.model.JobSpec

/**
 * The forecast of when blocked jobs become ready: at the end of the longest chain of their dependencies, according to expected run times.
 * With this forecast the fleet can provision machines early enough that they have booted when a job becomes ready.
 */
class ReadinessForecast(
    private val runTimes: RunTimeEstimates,
    private val fetchUs: (JobSpec) -> Long,
    private val findJob: (String) -> Job?,
) {
    /** The forecast as of [nowUs]. The end of each job is computed once and shared. */
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

        /** Returns the time on the steady clock at which all dependencies of [job] are expected to be complete. */
        fun readyAtUs(job: Job): Long = openDependencies(job).maxOfOrNull { endTimes.valueOf(it) + STAGE_TRANSITION_US } ?: nowUs

        /** Returns the dependencies that delay the job. Dependencies that are no longer open cause no delay. */
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
        /** Time from the end of one stage to the start of the next: the completion is recorded, then a round of requests runs. */
        const val STAGE_TRANSITION_US = 4 * SECOND
    }
}
