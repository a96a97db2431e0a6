package lichenstage.jobs

/** The readiness of an open job, judged by the dependencies that this process knows of. */
enum class Readiness {
    /** All dependencies of the job are done. */
    READY,

    /** Some dependencies of the job are not done yet, and none of them is known to be cancelled. */
    WAITING,

    /** A direct or transitive dependency is cancelled. */
    CANCELLED,

    /** A direct or transitive dependency has ended, but its outcome is not known. */
    UNKNOWN,
}

/**
 * The dependencies between jobs: the open jobs that have dependencies, and the outcomes of the finished jobs that they depend on
 * (invariant 16).
 *
 * The graph is derived from records only. A job may start once all its dependencies are **recorded** as done; an earlier start would
 * violate the rule `too_early`. A job must be cancelled once a direct or transitive dependency is recorded as cancelled; otherwise it
 * would violate the rule `orphaned`. Neither conclusion is ever reversed, so each controller can draw it independently, at any time and
 * after any change of leader. The cost of a change depends only on the number of jobs that depend on the changed job.
 */
class DependencyGraph {
    private val dependenciesByJob = HashMap<String, List<String>>()
    private val dependentsByJob = HashMap<String, LinkedHashSet<String>>()

    /** The outcomes of finished jobs that others depend on. */
    private val outcomes = HashMap<String, JobOutcome>()
    private val openJobs = HashSet<String>()

    /** Finished jobs that others depend on and whose outcome is not known yet. */
    private val unresolvedJobs = LinkedHashSet<String>()

    /** Open jobs with a direct or transitive dependency that is cancelled. */
    private val orphanedJobs = LinkedHashSet<String>()

    /** Adds a job that has an open record. */
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

    /** Removes a job whose open record was deleted. Its outcome becomes unresolved if other jobs depend on it. */
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

    /** Stores the recorded outcome of a job if other jobs depend on it. */
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

    /** Marks a job and its transitive dependents as orphaned: none of them can ever be done. */
    private fun markOrphaned(startJob: String) {
        val jobsToVisit = ArrayDeque(listOf(startJob))
        while (jobsToVisit.isNotEmpty()) {
            val job = jobsToVisit.removeLast()
            if (job in openJobs && orphanedJobs.add(job)) jobsToVisit += dependentsByJob[job].orEmpty()
        }
    }

    /**
     * Returns whether [job], which has these [dependencies], may start.
     *
     * Guards against a job that users see as waiting long after a dependency was cancelled. The end of a dependency becomes known before
     * its outcome. In between, the readiness of its dependents is unknown. This also applies if the record of [job] is not known here:
     * another controller can report the end of a dependency before the watch delivers that record. (The simulated cluster found this
     * fault: a job that was submitted right after an outage was reported as open although its chain was cancelled.)
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

    /** Returns whether any of [startJobs] or of their transitive dependencies is unresolved. */
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

    /** Returns the direct dependencies of a job; empty if its record is not known. */
    fun dependenciesOf(job: String): List<String> = dependenciesByJob[job].orEmpty()

    /** Returns the jobs that depend directly on [job]. */
    fun dependentsOf(job: String): Collection<String> = dependentsByJob[job].orEmpty()

    /** Returns up to [limit] finished jobs whose outcome has to be read. */
    fun findUnresolved(limit: Int): List<String> = unresolvedJobs.take(limit)

    /**
     * Returns up to [limit] open jobs to record as cancelled, in the order in which they were found. A job comes after the orphaned
     * dependency through which it was found.
     */
    fun findOrphans(limit: Int): List<String> = orphanedJobs.take(limit)

    /** Returns whether a direct or transitive dependency of the open job is cancelled. */
    fun isOrphaned(job: String) = job in orphanedJobs

    /**
     * Returns the time of day in microseconds at which the last of [dependencies] was done. Returns null while one of them is not done,
     * and 0 if no record contains a time.
     */
    fun readySinceUs(dependencies: List<String>): Long? {
        var lastEndedAtUs = 0L
        for (dependency in dependencies) {
            val outcome = outcomes[dependency]?.takeIf { it.isDone } ?: return null
            lastEndedAtUs = maxOf(lastEndedAtUs, outcome.endedAtUs ?: 0)
        }
        return lastEndedAtUs
    }
}
