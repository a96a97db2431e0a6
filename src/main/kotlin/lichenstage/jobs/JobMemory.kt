package lichenstage.jobs

import io.vertx.core.json.JsonObject
import lichenstage.cluster.TaskCounts
import lichenstage.common.LruMap

/** What the user API remembers of jobs: records of ends, which never change, and facts of open records that the replica may lack. */
class JobMemory(
    private val replica: JobReplica,
    private val pipelines: Pipelines,
) {
    private val over = LruMap<String, JsonObject>(REMEMBERED)

    /** Revisions of open records: with them one request asks for many jobs. */
    private val stamps = LruMap<String, Long>(REMEMBERED_OPEN)
    private val dependencies = LruMap<String, List<String>>(REMEMBERED_OPEN)
    private var counts = TaskCounts(0, emptyMap())

    /** The record of the job's end, where it is known to be over. */
    fun over(id: String): JsonObject? = over[id]

    /** The job is over. */
    fun rememberOver(
        id: String,
        record: JsonObject,
    ) {
        over[id] = record
    }

    /** The revision of the job's open record, as it was last seen. */
    fun stamp(id: String): Long? = stamps[id] ?: replica.stamp(id)

    /** What the job needs, as far as that is known. */
    fun dependencies(id: String): List<String> = dependencies[id] ?: pipelines.dependenciesOf(id)

    /** The job's record was seen open at revision [stamp]. */
    fun rememberOpen(
        id: String,
        stamp: Long,
        needed: List<String>,
    ) {
        stamps[id] = stamp
        if (needed.isNotEmpty()) dependencies[id] = needed
    }

    /** The open record of the job is gone. */
    fun forgetOpen(id: String) {
        stamps.remove(id)
    }

    /** The newest leader's counts stand. */
    fun counted(news: TaskCounts) {
        if (news.term >= counts.term) counts = news
    }

    /** The counts of an open job. */
    fun progress(id: String): TaskProgress {
        val (done, running) = counts.jobs[id] ?: listOf(0, 0)
        return TaskProgress(done, running)
    }

    private companion object {
        const val REMEMBERED = 4000
        const val REMEMBERED_OPEN = 20_000
    }
}
