package lichenstage.placement

import lichenstage.common.MILLI
import lichenstage.common.SECOND
import lichenstage.config.Team

/**
 * The order in which waiting jobs are placed: that of [ObjectiveOrder], and beside it the ones that have waited long.
 *
 * Guards against starving: what no promise is left for would come last for as long as more is asked than can be done. Every
 * second place goes to the job that has waited longest beyond [agingThresholdUs], counted from its record, so that no change of leader
 * makes it young again.
 */
class JobQueue(
    private val serviceObjectives: ServiceObjectives,
    private val teams: Map<String, Team>,
    private val runTimes: RunTimeEstimates,
    private val agingThresholdUs: Long = AGED_US,
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

    private val sizes = HashMap<String, Mean>()
    private var planned = emptyList<Job>()
    private var plannedUs = Long.MIN_VALUE / 2
    private var stale = true

    /** A job has come. */
    fun jobAdded(job: Job) {
        sizes.getOrPut(job.spec.jobClass) { Mean() }.add(job.spec.tasks)
        stale = true
    }

    /** The next plan is worth making soon. */
    fun invalidate() {
        stale = true
    }

    /** Jobs with something to place, first the one that is to be placed first. Planned anew now and then, not for every request. */
    fun order(
        jobs: Collection<Job>,
        cores: () -> Double,
        now: Long,
    ): List<Job> {
        if (now - plannedUs >= (if (stale) FRESH_US else PLAN_US)) {
            plannedUs = now
            stale = false
            planned = plan(jobs, cores(), now)
        }
        return planned.filter { waits(it, now) }
    }

    private fun waits(
        job: Job,
        now: Long,
    ) = job.phase == JobPhase.OPEN && job.placeable && !job.pending.isEmpty && now >= job.backoffUntilUs

    private fun plan(
        jobs: Collection<Job>,
        cores: Double,
        now: Long,
    ): List<Job> {
        val guaranteed = serviceObjectives.guaranteed(jobs, teams)
        val waiting = jobs.filter { it.phase == JobPhase.OPEN && it.placeable && !it.pending.isEmpty }
        val pipelines = pipelineDeadlines.Snapshot()
        val rows =
            waiting.map { job ->
                val others = pipelines.of(job)
                val runUs = runTimes.expectedUs(job.spec)
                val share = job.pending.size / sizes.getValue(job.spec.jobClass).value
                val steps =
                    serviceObjectives
                        .startObjectives(
                            job,
                            runUs,
                            now,
                            job in guaranteed,
                            others.dueUs,
                        ).map { PlannedObjective(it.startByUs + runUs, if (it.perTask) share else 1.0) }
                val waitingUs = maxOf(job.pending.size * runUs - job.totalSavedUs, 1)
                QueuedJob(job, waitingUs * job.spec.resources.cores, steps, runUs, others.priority)
            }
        val ordered = ObjectiveOrder.order(rows, maxOf(cores, 1.0) * FILL, now)
        val aged = waiting.filter { now - it.readyUs > agingThresholdUs }.sortedBy { it.readyUs }
        return if (aged.isEmpty()) ordered else interleaved(aged, ordered)
    }

    private fun interleaved(
        aged: List<Job>,
        ordered: List<Job>,
    ): List<Job> {
        val result = LinkedHashSet<Job>()
        for (i in ordered.indices) {
            if (i < aged.size) result += aged[i]
            result += ordered[i]
        }
        return result.toList()
    }

    private companion object {
        /** The part of the machines' cores that tasks fill. */
        const val FILL = 0.85
        const val AGED_US = 120 * SECOND
        const val FRESH_US = 50 * MILLI
        const val PLAN_US = 300 * MILLI
    }
}
