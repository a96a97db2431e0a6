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
    private val meanTasks = HashMap<String, Mean>()
    private var ordered = emptyList<Job>()
    private var orderedUs = Long.MIN_VALUE / 2
    private var isStale = true

    /** A job has been accepted. */
    fun jobAdded(job: Job) {
        meanTasks.getOrPut(job.spec.jobClass) { Mean() }.add(job.spec.tasks)
        isStale = true
    }

    /** The order has to be computed anew soon. */
    fun invalidate() {
        isStale = true
    }

    /**
     * The jobs with tasks to place, in the order in which they are placed. The order is computed anew at intervals, not for every call;
     * [cores] gives the cores of all machines.
     */
    fun order(
        jobs: Collection<Job>,
        cores: () -> Double,
        now: Long,
    ): List<Job> {
        if (now - orderedUs >= (if (isStale) STALE_ORDER_INTERVAL_US else ORDER_INTERVAL_US)) {
            orderedUs = now
            isStale = false
            ordered = computeOrder(jobs, cores(), now)
        }
        return ordered.filter { isWaiting(it) && now >= it.backoffUntilUs }
    }

    private fun isWaiting(job: Job) = job.phase == JobPhase.OPEN && job.isPlaceable && !job.pendingTasks.isEmpty

    private fun computeOrder(
        jobs: Collection<Job>,
        cores: Double,
        now: Long,
    ): List<Job> {
        val guaranteed = serviceObjectives.guaranteed(jobs, teams)
        val waiting = jobs.filter(::isWaiting)
        val pipelines = pipelineDeadlines.Snapshot()
        val queued = waiting.map { queued(it, it in guaranteed, pipelines.of(it), now) }
        val byObjective = ObjectiveOrder.order(queued, maxOf(cores, 1.0) * TARGET_UTILIZATION, now)
        val aged = waiting.filter { now - it.readyAtUs > agingThresholdUs }.sortedBy { it.readyAtUs }
        return if (aged.isEmpty()) byObjective else interleave(aged, byObjective)
    }

    private fun queued(
        job: Job,
        isGuaranteed: Boolean,
        inherited: InheritedPriority,
        now: Long,
    ): QueuedJob {
        val runUs = runTimes.expectedUs(job.spec)
        val shareOfMeanJob = job.pendingTasks.size / meanTasks.getValue(job.spec.jobClass).value
        val objectives =
            serviceObjectives
                .startObjectives(job, runUs, now, isGuaranteed, inherited.dueUs)
                .map { PlannedObjective(it.startByUs + runUs, if (it.perTask) shareOfMeanJob else 1.0) }
        val workUs = maxOf(job.pendingTasks.size * runUs - job.totalSavedProgressUs, 1)
        return QueuedJob(job, workUs * job.spec.resources.cores, objectives, runUs, inherited.priority)
    }

    private fun interleave(
        aged: List<Job>,
        byObjective: List<Job>,
    ): List<Job> {
        val result = LinkedHashSet<Job>()
        for (i in byObjective.indices) {
            if (i < aged.size) result += aged[i]
            result += byObjective[i]
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
