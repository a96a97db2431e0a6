package lichenstage.placement

import lichenstage.config.Objective
import lichenstage.config.ObjectiveKind
import lichenstage.config.Team

/**
 * A time by which all tasks of a job should have started.
 *
 * @property startByUs on the steady clock
 * @property isPerTask each task counts that starts in time; otherwise the job counts as a whole
 */
data class StartObjective(
    val startByUs: Long,
    val isPerTask: Boolean,
)

/** The service-level objectives of each class of jobs, as times by which tasks must start. */
class ServiceObjectives(
    objectives: List<Objective>,
) {
    private val timesByKindAndClass =
        objectives.groupBy { it.kind to it.jobClass }.mapValues { (_, rows) ->
            rows.mapNotNull { it.withinUs }.sorted()
        }

    private val guaranteeUs = objectives.filter { it.kind == ObjectiveKind.GUARANTEE }.mapNotNull { it.withinUs }.minOrNull()

    /** The jobs that fit into their team's guarantee together with the team's earlier open jobs. */
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
                    coresByTeam.merge(spec.team, spec.tasks * spec.resources.cores, Double::plus)!! <= team.cores &&
                    gpusByTeam.merge(spec.team, spec.tasks * spec.resources.gpus, Double::plus)!! <= team.gpus
            }
    }

    /** Some objective of the class asks for a start within less than [withinUs]. */
    fun hasStartObjectiveWithin(
        jobClass: String,
        withinUs: Long,
    ) = timesByKindAndClass[ObjectiveKind.WAIT to jobClass].orEmpty().any { it < withinUs }

    /** The job's own deadline on the steady clock, counted from its submission however long it was blocked; null where it has none. */
    fun deadlineAtUs(job: Job): Long? = job.spec.deadlineUs?.let { job.submittedAtUs + it }

    /** The times by which the job should be complete, the earliest first. */
    private fun dueTimesAtUs(job: Job): List<Long> {
        val finishWithinUs = timesByKindAndClass[ObjectiveKind.FINISHED to job.spec.jobClass].orEmpty()
        return (listOfNotNull(deadlineAtUs(job)) + finishWithinUs.map { job.readyAtUs + it }).sorted()
    }

    /**
     * The objectives of the job that can still be met, the earliest first. One that would be missed by little is kept, since run times
     * are estimates; its time is then now.
     *
     * @param runUs expected run time of one task
     * @param isGuaranteed the job is within its team's guarantee, which has an objective of its own
     * @param inheritedDueAtUs when the job's dependents need it to be complete; null where none does
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
        /** An objective can still be met while it is missed by no more than one part in so many of the run time. */
        const val TOLERANCE_DIVISOR = 4
    }
}
