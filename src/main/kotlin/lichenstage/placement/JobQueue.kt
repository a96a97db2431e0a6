package lichenstage.placement

import lichenstage.common.MILLI
import lichenstage.common.SECOND
import lichenstage.config.Team

/**
 * The queue of waiting jobs. It sorts them by [ObjectiveOrder] and adds ageing against starvation.
 *
 * Without ageing, jobs that can't meet any objective would stay at the end of the queue for as long as the machines are overloaded.
 * Therefore every second position goes to the longest-waiting job among those that have waited for more than [agingThresholdUs]. The
 * waiting time counts from the recorded time at which the job was submitted or became ready, so a failover does not reset it.
 */
class JobQueue(
    private val serviceObjectives: ServiceObjectives,
    private val teams: Map<String, Team>,
    private val runTimes: RunTimeEstimates,
    private val agingThresholdUs: Long = AGING_THRESHOLD_US,
    private val pipelineDeadlines: PipelineDeadlines = PipelineDeadlines(serviceObjectives, runTimes) { emptyList() },
) {
    private class Mean {
        private var sum = 0.0
        private var count = 0
        val value get() = sum / count

        fun add(value: Int) {
            sum += value
            count++
        }
    }

    /** The mean number of tasks per job, by job class. */
    private val meanTasksByClass = HashMap<String, Mean>()
    private var cachedOrder = emptyList<Job>()
    private var orderComputedAtUs = Long.MIN_VALUE / 2
    private var isStale = true

    /** Adds an accepted job to the mean of its class and marks the order as stale. */
    fun onJobAdded(job: Job) {
        meanTasksByClass.getOrPut(job.spec.jobClass) { Mean() }.add(job.spec.taskCount)
        isStale = true
    }

    /** Marks the order as stale, so that it is computed again after the shorter interval. */
    fun markOrderStale() {
        isStale = true
    }

    /**
     * Returns the jobs with tasks to place, in the order of placement. The order is computed again after [ORDER_INTERVAL_US], or after
     * [STALE_ORDER_INTERVAL_US] if it is stale, and not on every call.
     *
     * @param cores returns the number of cores of all machines
     */
    fun sortWaitingJobs(
        jobs: Collection<Job>,
        cores: () -> Double,
        nowUs: Long,
    ): List<Job> {
        if (nowUs - orderComputedAtUs >= (if (isStale) STALE_ORDER_INTERVAL_US else ORDER_INTERVAL_US)) {
            orderComputedAtUs = nowUs
            isStale = false
            cachedOrder = computeOrder(jobs, cores(), nowUs)
        }
        return cachedOrder.filter { isWaiting(it) && nowUs >= it.backoffUntilUs }
    }

    private fun isWaiting(job: Job) = job.phase == JobPhase.OPEN && job.isPlaceable && !job.pendingTasks.isEmpty

    private fun computeOrder(
        jobs: Collection<Job>,
        cores: Double,
        nowUs: Long,
    ): List<Job> {
        val guaranteedJobs = serviceObjectives.selectGuaranteedJobs(jobs, teams)
        val waitingJobs = jobs.filter(::isWaiting)
        val pipelineSnapshot = pipelineDeadlines.Snapshot()
        val queuedJobs = waitingJobs.map { toQueuedJob(it, it in guaranteedJobs, pipelineSnapshot.inheritedPriorityOf(it), nowUs) }
        val jobsByObjective = ObjectiveOrder.sort(queuedJobs, maxOf(cores, 1.0) * TARGET_UTILIZATION, nowUs)
        val agedJobs = waitingJobs.filter { nowUs - it.readyAtUs > agingThresholdUs }.sortedBy { it.readyAtUs }
        return if (agedJobs.isEmpty()) jobsByObjective else interleave(agedJobs, jobsByObjective)
    }

    private fun toQueuedJob(
        job: Job,
        isGuaranteed: Boolean,
        inheritedPriority: InheritedPriority,
        nowUs: Long,
    ): QueuedJob {
        val runUs = runTimes.expectedRunTimeUs(job.spec)
        val shareOfMeanJob = job.pendingTasks.size / meanTasksByClass.getValue(job.spec.jobClass).value
        val objectives =
            serviceObjectives
                .findAttainableObjectives(job, runUs, nowUs, isGuaranteed, inheritedPriority.dueAtUs)
                .map { PlannedObjective(it.startByUs + runUs, if (it.isPerTask) shareOfMeanJob else 1.0) }
        val remainingWorkUs = maxOf(job.pendingTasks.size * runUs - job.totalSavedProgressUs, 1)
        return QueuedJob(job, remainingWorkUs * job.spec.resources.cores, objectives, runUs, inheritedPriority.priority)
    }

    private fun interleave(
        agedJobs: List<Job>,
        jobsByObjective: List<Job>,
    ): List<Job> {
        val result = LinkedHashSet<Job>()
        for (i in jobsByObjective.indices) {
            if (i < agedJobs.size) result += agedJobs[i]
            result += jobsByObjective[i]
        }
        return result.toList()
    }

    private companion object {
        /** The fraction of all cores that is assumed to run tasks. */
        const val TARGET_UTILIZATION = 0.85
        const val AGING_THRESHOLD_US = 120 * SECOND
        const val STALE_ORDER_INTERVAL_US = 50 * MILLI
        const val ORDER_INTERVAL_US = 300 * MILLI
    }
}
