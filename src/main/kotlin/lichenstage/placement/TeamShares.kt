package lichenstage.placement

import lichenstage.model.JobSpec

/**
 * The parts of the teams' core limits that the demand of jobs takes up.
 *
 * Jobs that are restricted to a zone or to on-demand machines may wait for machines that cannot be provisioned. So the tasks of such a job
 * that wait take up the limit only for jobs with the same restriction, and leave it to all other jobs of the team.
 */
internal class TeamShares(
    private val coreLimit: (team: String) -> Double,
) {
    /** The jobs of a team that are restricted to the same machines. */
    private data class RestrictedJobs(
        val team: String,
        val zone: String?,
        val allowsSpot: Boolean,
    )

    private val coresByTeam = HashMap<String, Double>()
    private val waitingCores = HashMap<RestrictedJobs, Double>()

    /** Returns how many cores of its team's limit are left for a job. */
    fun availableCores(spec: JobSpec): Double =
        coreLimit(spec.team) - (coresByTeam[spec.team] ?: 0.0) - (waitingCores[restrictedJobs(spec)] ?: 0.0)

    /** Counts a job of which [tasks] tasks may run at once. */
    fun add(
        job: Job,
        tasks: Double,
    ) {
        val spec = job.spec
        val isRestricted = spec.zone != null || !spec.allowsSpot
        val waitingTasks = if (isRestricted) (tasks - job.liveAttempts.size).coerceAtLeast(0.0) else 0.0
        waitingCores.merge(restrictedJobs(spec), waitingTasks * spec.resources.cores, Double::plus)
        coresByTeam.merge(spec.team, (tasks - waitingTasks) * spec.resources.cores, Double::plus)
    }

    private fun restrictedJobs(spec: JobSpec) = RestrictedJobs(spec.team, spec.zone, spec.allowsSpot)
}
