package lichenstage.jobs

import lichenstage.cluster.TaskCounts
import lichenstage.common.LruMap

/** What the user API caches of jobs: their ends, which never change, and what the replica may lack of open records. */
class JobCache(
    private val replica: JobReplica,
    private val dependencyGraph: DependencyGraph,
) {
    private val finishedJobs = LruMap<String, FinishedJob>(MAX_FINISHED_JOBS)

    /** Revisions of open records: with them one request asks for many jobs. */
    private val openRevisions = LruMap<String, Long>(MAX_OPEN_JOBS)
    private val dependenciesByJob = LruMap<String, List<String>>(MAX_OPEN_JOBS)
    private var taskCounts = TaskCounts(0, emptyMap())

    /** The job's end, where it is known to have ended. */
    fun finishedJob(id: String): FinishedJob? = finishedJobs[id]

    /** The job has ended. */
    fun rememberFinished(
        id: String,
        job: FinishedJob,
    ) {
        finishedJobs[id] = job
    }

    /** The revision of the job's open record, as it was last seen. */
    fun openRevision(id: String): Long? = openRevisions[id] ?: replica.openRevision(id)

    /** The ids of the jobs that the job depends on, as far as they are known. */
    fun dependenciesOf(id: String): List<String> = dependenciesByJob[id] ?: dependencyGraph.dependenciesOf(id)

    /** The job's record was seen open at revision [openRevision]. */
    fun rememberOpen(
        id: String,
        openRevision: Long,
        dependencyIds: List<String>,
    ) {
        openRevisions[id] = openRevision
        if (dependencyIds.isNotEmpty()) dependenciesByJob[id] = dependencyIds
    }

    /** The open record of the job is gone. */
    fun forgetOpen(id: String) {
        openRevisions.remove(id)
    }

    /** Takes over the counts of a leader, unless those of a later term are known. */
    fun updateTaskCounts(newCounts: TaskCounts) {
        if (newCounts.term >= taskCounts.term) taskCounts = newCounts
    }

    /** How far an open job is, as the leader counts. */
    fun taskProgress(id: String): TaskProgress {
        val (done, running) = taskCounts.jobs[id] ?: listOf(0, 0)
        return TaskProgress(done, running)
    }

    private companion object {
        const val MAX_FINISHED_JOBS = 4000
        const val MAX_OPEN_JOBS = 20_000
    }
}
