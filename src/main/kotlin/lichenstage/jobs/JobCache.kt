package lichenstage.jobs

import io.vertx.core.json.JsonObject
import lichenstage.cluster.TaskCounts
import lichenstage.common.LruMap

/** What the user API remembers of jobs: records of ends, which never change, and facts of open records that the replica may lack. */
class JobCache(
    private val replica: JobReplica,
    private val dependencyGraph: DependencyGraph,
) {
    private val finished = LruMap<String, JsonObject>(MAX_FINISHED)

    /** Revisions of open records: with them one request asks for many jobs. */
    private val openRevisions = LruMap<String, Long>(MAX_OPEN)
    private val dependencies = LruMap<String, List<String>>(MAX_OPEN)
    private var counts = TaskCounts(0, emptyMap())

    /** The record of the job's end, where it is known to be over. */
    fun finished(id: String): JsonObject? = finished[id]

    /** The job is over. */
    fun rememberFinished(
        id: String,
        record: JsonObject,
    ) {
        finished[id] = record
    }

    /** The revision of the job's open record, as it was last seen. */
    fun openRevision(id: String): Long? = openRevisions[id] ?: replica.openRevision(id)

    /** What the job needs, as far as that is known. */
    fun dependencies(id: String): List<String> = dependencies[id] ?: dependencyGraph.dependenciesOf(id)

    /** The job's record was seen open at revision [openRevision]. */
    fun rememberOpen(
        id: String,
        openRevision: Long,
        needed: List<String>,
    ) {
        openRevisions[id] = openRevision
        if (needed.isNotEmpty()) dependencies[id] = needed
    }

    /** The open record of the job is gone. */
    fun forgetOpen(id: String) {
        openRevisions.remove(id)
    }

    /** The newest leader's counts stand. */
    fun updateProgress(news: TaskCounts) {
        if (news.term >= counts.term) counts = news
    }

    /** The counts of an open job. */
    fun progress(id: String): TaskProgress {
        val (done, running) = counts.jobs[id] ?: listOf(0, 0)
        return TaskProgress(done, running)
    }

    private companion object {
        const val MAX_FINISHED = 4000
        const val MAX_OPEN = 20_000
    }
}
