package lichenstage.jobs

import lichenstage.cluster.TaskCounts
import lichenstage.common.LruMap

/** The cache of jobs for replies to users: recorded ends, which never change, and data of open records that [replica] may lack. */
class JobCache(
    private val replica: JobReplica,
    private val dependencyGraph: DependencyGraph,
) {
    private val finishedJobs = LruMap<String, FinishedJob>(MAX_FINISHED_JOBS)

    /** Revisions of open records. They allow one request to check many jobs (see [OpenRecordCheck]). */
    private val openRevisions = LruMap<String, Long>(MAX_OPEN_JOBS)
    private val dependenciesByJob = LruMap<String, List<String>>(MAX_OPEN_JOBS)
    private var taskCounts = TaskCounts(0, emptyMap())

    /** Returns the job's recorded end, or null if the job is not known to have ended. */
    fun finishedJob(id: String): FinishedJob? = finishedJobs[id]

    /** Stores the recorded end of a job. */
    fun rememberFinished(
        id: String,
        job: FinishedJob,
    ) {
        finishedJobs[id] = job
    }

    /** Returns the last known revision of the job's open record, or null if none is known. */
    fun openRevision(id: String): Long? = openRevisions[id] ?: replica.openRevision(id)

    /** Returns the ids of the job's dependencies; empty if its record is not known. */
    fun dependenciesOf(id: String): List<String> = dependenciesByJob[id] ?: dependencyGraph.dependenciesOf(id)

    /** Stores the revision and the dependencies of an open record that was seen in the state service. */
    fun rememberOpen(
        id: String,
        openRevision: Long,
        dependencyIds: List<String>,
    ) {
        openRevisions[id] = openRevision
        if (dependencyIds.isNotEmpty()) dependenciesByJob[id] = dependencyIds
    }

    /** Removes the revision of an open record that was deleted. */
    fun forgetOpen(id: String) {
        openRevisions.remove(id)
    }

    /** Stores the task counts of a leader, unless the stored ones are of a later term. */
    fun updateTaskCounts(newCounts: TaskCounts) {
        if (newCounts.term >= taskCounts.term) taskCounts = newCounts
    }

    /** Returns the task counts that the leader last sent for an open job; zeros if there are none. */
    fun taskProgress(id: String): TaskProgress {
        val (done, running) = taskCounts.jobs[id] ?: listOf(0, 0)
        return TaskProgress(done, running)
    }

    private companion object {
        const val MAX_FINISHED_JOBS = 4000
        const val MAX_OPEN_JOBS = 20_000
    }
}
