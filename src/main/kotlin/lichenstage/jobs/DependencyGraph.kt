package lichenstage.jobs

/** Where a job with an open record stands by what is known of the jobs that it needs. */
enum class Readiness {
    /** All that it needs is done. */
    READY,

    /** It waits for jobs that may yet be done. */
    WAITING,

    /** A job that it needs, directly or through others, is cancelled. */
    CANCELLED,

    /** A job that it needs, directly or through others, has ended, and it is not known how. */
    UNKNOWN,
}

/**
 * Who waits for whom: the open jobs that need others, and what became of those.
 *
 * Everything here follows from records: a job may start once every job that it needs is **recorded** as done (`too_early`), and is as
 * good as cancelled once one that it needs, directly or through others, is recorded as cancelled (`orphaned`). Either never goes back,
 * so each controller may find it out for itself, at any time and after any change of leader. A change costs by the jobs that wait for
 * what has changed.
 */
class DependencyGraph {
    private val dependenciesByJob = HashMap<String, List<String>>()
    private val dependentsByJob = HashMap<String, LinkedHashSet<String>>()

    /** Of jobs that others need and that are over. */
    private val outcomes = HashMap<String, JobOutcome>()
    private val open = HashSet<String>()

    /** Needed jobs that are over, of which it is not known how they ended. */
    private val unresolvedJobs = LinkedHashSet<String>()

    /** Open jobs of which one that they need is cancelled, directly or through others. */
    private val orphaned = LinkedHashSet<String>()

    /** There is an open record of the job. */
    fun jobOpened(
        job: String,
        dependencies: List<String>,
    ) {
        if (!open.add(job)) return
        unresolvedJobs -= job
        if (dependencies.isEmpty()) return
        dependenciesByJob[job] = dependencies
        for (dependency in dependencies) {
            dependentsByJob.getOrPut(dependency) { LinkedHashSet() } += job
            if (dependency !in open && dependency !in outcomes) unresolvedJobs += dependency
        }
        if (dependencies.any(::isCancelled)) orphan(job)
    }

    /** The record of the job is gone. */
    fun jobClosed(job: String) {
        if (!open.remove(job)) return
        orphaned -= job
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
    fun outcomeRecorded(
        job: String,
        outcome: JobOutcome,
    ) {
        val dependents = dependentsByJob[job] ?: return
        if (outcomes.put(job, outcome) != null) return
        unresolvedJobs -= job
        if (!outcome.isDone) dependents.toList().forEach(::orphan)
    }

    private fun isCancelled(job: String) = job in orphaned || outcomes[job]?.isDone == false

    /** With all that need it: theirs can never be done. */
    private fun orphan(first: String) {
        val due = ArrayDeque(listOf(first))
        while (due.isNotEmpty()) {
            val job = due.removeLast()
            if (job in open && orphaned.add(job)) due += dependentsByJob[job].orEmpty()
        }
    }

    /**
     * Where [job], which needs [dependencies], stands. Guards against a user who hears of a waiting job long after what it needs was
     * cancelled: between the word that a job has ended and the word how, nothing may be said of what waits for it. That holds too
     * where the job itself is not known yet: another controller's word of an end can come before the watch has brought its record.
     * (Found in the simulated cluster: a job submitted right after an outage was called open although its chain was cancelled.)
     */
    fun readiness(
        job: String,
        dependencies: List<String>,
    ): Readiness =
        when {
            dependencies.isEmpty() || readySinceUs(dependencies) != null -> Readiness.READY
            job in orphaned || dependencies.any(::isCancelled) -> Readiness.CANCELLED
            dependencies.any { it !in open && it !in outcomes } || reachesUnresolved(dependencies) -> Readiness.UNKNOWN
            else -> Readiness.WAITING
        }

    private fun reachesUnresolved(first: List<String>): Boolean {
        if (unresolvedJobs.isEmpty()) return false
        val due = ArrayDeque(first)
        val seen = HashSet<String>()
        while (due.isNotEmpty()) {
            val job = due.removeLast()
            if (job in unresolvedJobs) return true
            if (seen.add(job)) due += dependenciesByJob[job].orEmpty()
        }
        return false
    }

    /** The jobs that this one needs, where its record is known. */
    fun dependenciesOf(job: String): List<String> = dependenciesByJob[job].orEmpty()

    /** The jobs that wait for this one directly. */
    fun dependentsOf(job: String): Collection<String> = dependentsByJob[job].orEmpty()

    /** Jobs of which it is to be found out how they ended. */
    fun unresolved(limit: Int): List<String> = unresolvedJobs.take(limit)

    /** Open jobs that are to be recorded as cancelled, those that others need first. */
    fun orphans(limit: Int): List<String> = orphaned.take(limit)

    /** One that the job needs, directly or through others, is cancelled. */
    fun isOrphan(job: String) = job in orphaned

    /** When the last of [dependencies] was done, in time of day; null while one isn't. 0 where none says when. */
    fun readySinceUs(dependencies: List<String>): Long? {
        var last = 0L
        for (dependency in dependencies) {
            val outcome = outcomes[dependency]?.takeIf { it.isDone } ?: return null
            last = maxOf(last, outcome.atUs ?: 0)
        }
        return last
    }
}
