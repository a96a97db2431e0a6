package lichenstage.jobs

/** Whether a job with an open record may start, by what is known of its dependencies. */
enum class Readiness {
    /** All of its dependencies are done. */
    READY,

    /** Some of its dependencies may yet be done. */
    WAITING,

    /** A dependency, direct or transitive, is cancelled. */
    CANCELLED,

    /** A dependency, direct or transitive, has ended, and it is not known how. */
    UNKNOWN,
}

/**
 * The dependencies between jobs: the open jobs that have any, and the outcomes of those that have ended (invariant 16).
 *
 * Everything here follows from records: a job may start once all of its dependencies are **recorded** as done (`too_early`), and is as
 * good as cancelled once one that it needs, directly or through others, is recorded as cancelled (`orphaned`). Either never goes back,
 * so each controller may find it out for itself, at any time and after any change of leader. A change costs by the jobs that wait for
 * what has changed.
 */
class DependencyGraph {
    private val dependenciesByJob = HashMap<String, List<String>>()
    private val dependentsByJob = HashMap<String, LinkedHashSet<String>>()

    /** Outcomes of ended jobs that others depend on. */
    private val outcomes = HashMap<String, JobOutcome>()
    private val openJobs = HashSet<String>()

    /** Ended jobs that others depend on, of which it is not known how they ended. */
    private val unresolvedJobs = LinkedHashSet<String>()

    /** Open jobs with a cancelled dependency, direct or transitive. */
    private val orphanedJobs = LinkedHashSet<String>()

    /** The job has an open record. */
    fun onJobOpened(
        job: String,
        dependencies: List<String>,
    ) {
        if (!openJobs.add(job)) return
        unresolvedJobs -= job
        if (dependencies.isEmpty()) return
        dependenciesByJob[job] = dependencies
        for (dependency in dependencies) {
            dependentsByJob.getOrPut(dependency) { LinkedHashSet() } += job
            if (dependency !in openJobs && dependency !in outcomes) unresolvedJobs += dependency
        }
        if (dependencies.any(::isCancelled)) markOrphaned(job)
    }

    /** The record of the job is gone. */
    fun onJobClosed(job: String) {
        if (!openJobs.remove(job)) return
        orphanedJobs -= job
        for (dependency in dependenciesByJob.remove(job).orEmpty()) {
            val dependents = dependentsByJob[dependency] ?: continue
            dependents -= job
            if (dependents.isNotEmpty()) continue
            dependentsByJob -= dependency
            outcomes -= dependency
            unresolvedJobs -= dependency
        }
        if (job in dependentsByJob && job !in outcomes) unresolvedJobs += job
    }

    /** It is recorded how the job ended. */
    fun onOutcomeRecorded(
        job: String,
        outcome: JobOutcome,
    ) {
        val dependents = dependentsByJob[job] ?: return
        if (outcomes.put(job, outcome) != null) return
        unresolvedJobs -= job
        if (!outcome.isDone) dependents.toList().forEach(::markOrphaned)
    }

    private fun isCancelled(job: String) = job in orphanedJobs || outcomes[job]?.isDone == false

    /** Marks the job and its transitive dependents: none of them can ever be done. */
    private fun markOrphaned(startJob: String) {
        val jobsToVisit = ArrayDeque(listOf(startJob))
        while (jobsToVisit.isNotEmpty()) {
            val job = jobsToVisit.removeLast()
            if (job in openJobs && orphanedJobs.add(job)) jobsToVisit += dependentsByJob[job].orEmpty()
        }
    }

    /**
     * Whether [job], which has [dependencies], may start. Guards against a user who sees a job as waiting long after a dependency was
     * cancelled: from when a job is known to have ended until its outcome is known, the state of its dependents is unknown. That holds
     * too where the job itself is not known yet: another controller can report an end before the watch has brought the record.
     * (Found in the simulated cluster: a job submitted right after an outage was called open although its chain was cancelled.)
     */
    fun readiness(
        job: String,
        dependencies: List<String>,
    ): Readiness =
        when {
            dependencies.isEmpty() || readySinceUs(dependencies) != null -> Readiness.READY
            job in orphanedJobs || dependencies.any(::isCancelled) -> Readiness.CANCELLED
            dependencies.any { it !in openJobs && it !in outcomes } || dependOnUnresolved(dependencies) -> Readiness.UNKNOWN
            else -> Readiness.WAITING
        }

    private fun dependOnUnresolved(startJobs: List<String>): Boolean {
        if (unresolvedJobs.isEmpty()) return false
        val jobsToVisit = ArrayDeque(startJobs)
        val visitedJobs = HashSet<String>()
        while (jobsToVisit.isNotEmpty()) {
            val job = jobsToVisit.removeLast()
            if (job in unresolvedJobs) return true
            if (visitedJobs.add(job)) jobsToVisit += dependenciesByJob[job].orEmpty()
        }
        return false
    }

    /** The direct dependencies of a job; none where its record is not known. */
    fun dependenciesOf(job: String): List<String> = dependenciesByJob[job].orEmpty()

    /** The jobs that depend on this one directly. */
    fun dependentsOf(job: String): Collection<String> = dependentsByJob[job].orEmpty()

    /** Up to [limit] ended jobs whose outcome is still to be read. */
    fun findUnresolved(limit: Int): List<String> = unresolvedJobs.take(limit)

    /** Up to [limit] open jobs that are to be recorded as cancelled, dependencies before their dependents. */
    fun findOrphans(limit: Int): List<String> = orphanedJobs.take(limit)

    /** A dependency of the job, direct or transitive, is cancelled. */
    fun isOrphaned(job: String) = job in orphanedJobs

    /** Time of day in microseconds at which the last of [dependencies] was done; null while one is not, 0 where no record says when. */
    fun readySinceUs(dependencies: List<String>): Long? {
        var lastEndedAtUs = 0L
        for (dependency in dependencies) {
            val outcome = outcomes[dependency]?.takeIf { it.isDone } ?: return null
            lastEndedAtUs = maxOf(lastEndedAtUs, outcome.endedAtUs ?: 0)
        }
        return lastEndedAtUs
    }
}
