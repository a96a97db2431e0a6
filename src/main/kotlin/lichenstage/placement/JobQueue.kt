package lichenstage.placement

import lichenstage.common.MILLI
import lichenstage.common.SECOND
import lichenstage.config.Team

/**
 * The order in which waiting jobs are placed: that of [ObjectiveOrder], with ageing against starvation.
 *
 * Jobs for which no objective is left would come last for as long as more is asked than the machines can do. So every second place goes
 * to the job that has waited longest beyond [agingThresholdUs], counted from its record, so that a failover does not reset its age.
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

    /** The mean number of tasks of the jobs of a class. */
    private val meanTasksByClass = HashMap<String, Mean>()
    private var cachedOrder = emptyList<Job>()
    private var orderComputedAtUs = Long.MIN_VALUE / 2
    private var isStale = true

    /** A job has been accepted. */
    fun onJobAdded(job: Job) {
        meanTasksByClass.getOrPut(job.spec.jobClass) { Mean() }.add(job.spec.tasks)
        isStale = true
    }

    /** The order has to be computed anew soon. */
    fun markOrderStale() {
        isStale = true
    }

    /**
     * The jobs with tasks to place, in the order in which they are placed. The order is computed anew at intervals, not for every call;
     * [cores] gives the cores of all machines.
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
        /** The part of the machines' cores that tasks use. */
        const val TARGET_UTILIZATION = 0.85
        const val AGING_THRESHOLD_US = 120 * SECOND
        const val STALE_ORDER_INTERVAL_US = 50 * MILLI
        const val ORDER_INTERVAL_US = 300 * MILLI
    }
}
