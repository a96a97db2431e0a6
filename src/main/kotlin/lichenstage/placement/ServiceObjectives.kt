package lichenstage.placement

import lichenstage.config.Objective
import lichenstage.config.ObjectiveKind
import lichenstage.config.Team

/** A time by which all of a job's tasks should have started. [perTask]: starts are counted task by task, not job by job. */
data class StartObjective(
    val startByUs: Long,
    val perTask: Boolean,
)

/** What users were promised for each class of jobs, as times by which a task must start. */
class ServiceObjectives(
    objectives: List<Objective>,
) {
    private val byClass = objectives.groupBy { it.kind to it.jobClass }.mapValues { (_, rows) -> rows.mapNotNull { it.withinUs }.sorted() }

    private val guaranteeUs = objectives.filter { it.kind == ObjectiveKind.GUARANTEE }.mapNotNull { it.withinUs }.minOrNull()

    /** Jobs that fit into their team's guarantee together with the team's earlier unfinished ones. */
    fun guaranteed(
        jobs: Collection<Job>,
        teams: Map<String, Team>,
    ): Set<Job> {
        if (guaranteeUs == null) return emptySet()
        val cores = HashMap<String, Double>()
        val gpus = HashMap<String, Double>()
        return jobs
            .filter { it.phase == JobPhase.OPEN && it.ready }
            .sortedBy { it.readyUs }
            .filterTo(HashSet()) {
                val spec = it.spec
                val team = teams[spec.team]
                team != null &&
                    cores.merge(spec.team, spec.tasks * spec.resources.cores, Double::plus)!! <= team.cores &&
                    gpus.merge(spec.team, spec.tasks * spec.resources.gpus, Double::plus)!! <= team.gpus
            }
    }

    /** Starts of this class are promised within less than [withinUs]. */
    fun startsWithin(
        jobClass: String,
        withinUs: Long,
    ) = byClass[ObjectiveKind.WAIT to jobClass].orEmpty().any { it < withinUs }

    /** The job's own deadline (steady): it counts from the submission, however long the job had to wait for others. */
    fun deadlineUs(job: Job): Long? = job.spec.deadlineUs?.let { job.submittedAtUs + it }

    /** The times (steady) by which the job should be complete, the earliest first. */
    fun dueUs(job: Job): List<Long> {
        val finish = byClass[ObjectiveKind.FINISHED to job.spec.jobClass].orEmpty()
        return (listOfNotNull(deadlineUs(job)) + finish.map { job.readyUs + it }).sorted()
    }

    /**
     * The promises for the job that can still be kept, the earliest first. [runUs] is how long a task is expected to run; a
     * start that seems somewhat too late may still do. [forOthersUs]: when those that wait for it need it done.
     */
    fun startObjectives(
        job: Job,
        runUs: Long,
        now: Long,
        guaranteed: Boolean = false,
        forOthersUs: Long? = null,
    ): List<StartObjective> {
        val waits = byClass[ObjectiveKind.WAIT to job.spec.jobClass].orEmpty() + listOfNotNull(guaranteeUs?.takeIf { guaranteed })
        return (
            waits.map { StartObjective(job.readyUs + it, perTask = true) } +
                (dueUs(job) + listOfNotNull(forOthersUs)).map { StartObjective(it - runUs, perTask = false) }
        ).filter { it.startByUs + runUs / 4 >= now }
            .map { it.copy(startByUs = maxOf(it.startByUs, now)) }
            .sortedBy { it.startByUs }
    }
}
