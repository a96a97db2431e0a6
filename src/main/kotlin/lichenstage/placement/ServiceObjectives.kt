package lichenstage.placement

import lichenstage.config.Objective
import lichenstage.config.ObjectiveKind
import lichenstage.config.Team

/**
 * A time by which all tasks of a job should have started.
 *
 * @property startByUs time on the steady clock
 * @property isPerTask true if each task that starts in time counts, false if the job counts as a whole
 */
data class StartObjective(
    val startByUs: Long,
    val isPerTask: Boolean,
)

/** The service-level objectives of each job class, as times by which tasks must start. */
class ServiceObjectives(
    objectives: List<Objective>,
) {
    private val timesByKindAndClass =
        objectives.groupBy { it.kind to it.jobClass }.mapValues { (_, objectivesOfClass) ->
            objectivesOfClass.mapNotNull { it.withinUs }.sorted()
        }

    /** The time within which tasks of guaranteed jobs must start, in microseconds; null if there is no guarantee objective. */
    private val guaranteeUs = objectives.filter { it.kind == ObjectiveKind.GUARANTEE }.mapNotNull { it.withinUs }.minOrNull()

    /** Returns the jobs that fit into their team's guarantee together with the earlier open jobs of the team. */
    fun selectGuaranteedJobs(
        jobs: Collection<Job>,
        teams: Map<String, Team>,
    ): Set<Job> {
        if (guaranteeUs == null) return emptySet()
        val coresByTeam = HashMap<String, Double>()
        val gpusByTeam = HashMap<String, Double>()
        return jobs
            .filter { it.phase == JobPhase.OPEN && it.isReady }
            .sortedBy { it.readyAtUs }
            .filterTo(HashSet()) {
                val spec = it.spec
                val team = teams[spec.team]
                team != null &&
                    coresByTeam.merge(spec.team, spec.taskCount * spec.resources.cores, Double::plus)!! <= team.guaranteedCores &&
                    gpusByTeam.merge(spec.team, spec.taskCount * spec.resources.gpus, Double::plus)!! <= team.guaranteedGpus
            }
    }

    /** Returns whether an objective of the class requires a start in less than [withinUs]. */
    fun hasStartObjectiveWithin(
        jobClass: String,
        withinUs: Long,
    ) = timesByKindAndClass[ObjectiveKind.WAIT to jobClass].orEmpty().any { it < withinUs }

    /**
     * Returns the time on the steady clock of the job's own deadline, or null if it has none. A deadline counts from the submission, also
     * while the job is blocked.
     */
    fun deadlineAtUs(job: Job): Long? = job.spec.deadlineAfterUs?.let { job.submittedAtUs + it }

    /** Returns the times by which the job should be complete, the earliest first. */
    private fun dueTimesAtUs(job: Job): List<Long> {
        val finishWithinUs = timesByKindAndClass[ObjectiveKind.FINISHED to job.spec.jobClass].orEmpty()
        return (listOfNotNull(deadlineAtUs(job)) + finishWithinUs.map { job.readyAtUs + it }).sorted()
    }

    /**
     * Returns the objectives of the job that can still be met, the earliest first. Run times are estimates, so an objective that would be
     * missed by a small margin is kept, with the current time as its start time.
     *
     * @param runUs expected run time of one task
     * @param isGuaranteed whether the job is within its team's guarantee and so has an additional start objective
     * @param inheritedDueAtUs time by which the dependents need the job to be complete; null if they have no deadline
     */
    fun findAttainableObjectives(
        job: Job,
        runUs: Long,
        nowUs: Long,
        isGuaranteed: Boolean = false,
        inheritedDueAtUs: Long? = null,
    ): List<StartObjective> {
        val startWithinUs =
            timesByKindAndClass[ObjectiveKind.WAIT to job.spec.jobClass].orEmpty() + listOfNotNull(guaranteeUs?.takeIf { isGuaranteed })
        return (
            startWithinUs.map { StartObjective(job.readyAtUs + it, isPerTask = true) } +
                (dueTimesAtUs(job) + listOfNotNull(inheritedDueAtUs)).map { StartObjective(it - runUs, isPerTask = false) }
        ).filter { it.startByUs + runUs / TOLERANCE_DIVISOR >= nowUs }
            .map { it.copy(startByUs = maxOf(it.startByUs, nowUs)) }
            .sortedBy { it.startByUs }
    }

    private companion object {
        /** An objective can still be met if its start is late by at most the run time divided by this number. */
        const val TOLERANCE_DIVISOR = 4
    }
}
