package lichenstage.jobs

import lichenstage.cluster.TaskCounts
import lichenstage.common.LruMap

/** What the user API caches of jobs: their ends, which never change, and what the replica may lack of open records. */
class JobCache(
    private val replica: JobReplica,
    private val dependencyGraph: DependencyGraph,
) {
    private val finished = LruMap<String, FinishedJob>(MAX_FINISHED)

    /** Revisions of open records: with them one request asks for many jobs. */
    private val openRevisions = LruMap<String, Long>(MAX_OPEN)
    private val dependencies = LruMap<String, List<String>>(MAX_OPEN)
    private var counts = TaskCounts(0, emptyMap())

    /** The job's end, where it is known to have ended. */
    fun finished(id: String): FinishedJob? = finished[id]

    /** The job has ended. */
    fun rememberFinished(
        id: String,
        job: FinishedJob,
    ) {
        finished[id] = job
    }

    /** The revision of the job's open record, as it was last seen. */
    fun openRevision(id: String): Long? = openRevisions[id] ?: replica.openRevision(id)

    /** The ids of the jobs that the job depends on, as far as they are known. */
    fun dependencies(id: String): List<String> = dependencies[id] ?: dependencyGraph.dependenciesOf(id)

    /** The job's record was seen open at revision [openRevision]. */
    fun rememberOpen(
        id: String,
        openRevision: Long,
        dependencyIds: List<String>,
    ) {
        openRevisions[id] = openRevision
        if (dependencyIds.isNotEmpty()) dependencies[id] = dependencyIds
    }

    /** The open record of the job is gone. */
    fun forgetOpen(id: String) {
        openRevisions.remove(id)
    }

    /** Takes over the counts of a leader, unless those of a later term are known. */
    fun updateProgress(received: TaskCounts) {
        if (received.term >= counts.term) counts = received
    }

    /** How far an open job is, as the leader counts. */
    fun progress(id: String): TaskProgress {
        val (done, running) = counts.jobs[id] ?: listOf(0, 0)
        return TaskProgress(done, running)
    }

    private companion object {
        const val MAX_FINISHED = 4000
        const val MAX_OPEN = 20_000
    }
}
