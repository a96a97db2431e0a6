package lichenstage.jobs

import io.vertx.core.json.JsonObject
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import lichenstage.cluster.CompletionSyncReply
import lichenstage.cluster.CompletionSyncRequest
import lichenstage.cluster.Frame
import lichenstage.cluster.JobsEnded
import lichenstage.common.BoundedLog
import lichenstage.common.Clock
import lichenstage.common.SECOND
import lichenstage.state.KeyValueStoreClient
import lichenstage.state.ReadResult
import lichenstage.state.ScanResult
import lichenstage.state.WatchResult

/** Keeps the [JobReplica] of this process up to date: by a watch, and by the other controllers while the state service is away. */
class JobReplicaSync(
    private val replica: JobReplica,
    private val pipelines: Pipelines,
    private val others: List<String>,
    private val state: KeyValueStoreClient,
    private val clock: Clock,
    private val scope: CoroutineScope,
    private val send: (String, Frame) -> Unit,
    private val over: (List<String>) -> Unit,
    private val resolved: () -> Unit,
) {
    private val log = BoundedLog.of("lichenstage.jobs", clock)
    private var isStale = false

    /** Follows the open jobs from now on. */
    fun start() {
        scope.launch {
            while (true) {
                delay(RESOLVE_MS)
                pipelines.toResolve(MOST_RESOLVED).forEach { resolve(it) }
            }
        }
        scope.launch {
            while (true) follow()
        }
        scope.launch {
            while (true) {
                delay(ASK_MS)
                val now = clock.now()
                noteStaleness(replica.revision >= 0 && !replica.readWithin(STALE_US, now))
                if (replica.lagging(now)) others.forEach { other -> replica.question(other, now)?.let { send(other, it) } }
            }
        }
    }

    private fun noteStaleness(staleNow: Boolean) {
        if (staleNow == isStale) return
        isStale = staleNow
        log.info { "revision=${replica.revision} open jobs are ${if (staleNow) "not read any more" else "read again"}" }
    }

    private suspend fun follow() {
        val scannedUs = clock.now()
        val scan = state.scan(JobRecord.OPEN)
        if (scan !is ScanResult.Complete) {
            delay(RETRY_MS)
            return
        }
        news(replica.loaded(scan.entries.associate { id(it.key) to it.modRevision }, scan.revision, scannedUs))
        scan.entries.forEach { pipelines.opened(id(it.key), JobRecord.dependencies(it.value)) }
        while (true) {
            val sentUs = clock.now()
            when (val seen = state.watch(JobRecord.OPEN, replica.revision, WAIT_MS)) {
                is WatchResult.Events -> {
                    val put = seen.puts.associate { id(it.key) to it.modRevision }
                    seen.puts.forEach { pipelines.opened(id(it.key), JobRecord.dependencies(it.value)) }
                    news(replica.changed(put, seen.deletes.associate { id(it.key) to it.modRevision }, seen.revision, sentUs))
                }

                WatchResult.Compacted -> {
                    return
                }

                WatchResult.Unavailable -> {
                    delay(RETRY_MS)
                }
            }
        }
    }

    private fun id(key: String) = key.removePrefix(JobRecord.OPEN)

    /** How a job that others need has ended stands in its record; until that can be read, they wait. */
    private suspend fun resolve(job: String) {
        val read = state.get(JobRecord.FINISHED + job)
        if (read is ReadResult.Found) finished(job, read.entry.value)
    }

    /** The record of a job that is over. */
    fun finished(
        job: String,
        record: JsonObject,
    ) {
        pipelines.resolved(job, Outcome(record.getString("status") == "done", record.getLong("at")))
        resolved()
    }

    /** This process has cancelled the job and is about to tell its user. Who leads and who owns partitions hear it at once. */
    fun cancelled(
        job: String,
        at: Long,
    ) {
        log.info { "job=$job revision=$at cancelled, its user is told" }
        replica.learned(job, at)
        news(listOf(job))
        others.forEach { send(it, JobsEnded(listOf(job))) }
    }

    /** Another controller asks for the ends that it may lack. */
    fun asked(
        from: String,
        question: CompletionSyncRequest,
    ) {
        replica.handOver(question)?.let { send(from, it) }
    }

    /** Another controller hands over ends. */
    fun answered(
        from: String,
        answer: CompletionSyncReply,
    ) = news(replica.answered(from, answer))

    /** Another controller has confirmed the end of jobs to its user. */
    fun told(frame: JobsEnded) = news(replica.told(frame.jobs))

    private fun news(jobs: List<String>) {
        jobs.forEach(pipelines::ended)
        if (jobs.isNotEmpty()) over(jobs)
    }

    private companion object {
        const val ASK_MS = 400L
        const val RETRY_MS = 300L
        const val RESOLVE_MS = 100L

        /** Longer than the watch takes while nothing changes: what was read counts from when it was asked for. */
        const val STALE_US = 8 * SECOND
        const val MOST_RESOLVED = 8

        /** Short: what was read counts from when it was asked for, and must not seem stale while nothing happens. */
        const val WAIT_MS = 2500L
    }
}
