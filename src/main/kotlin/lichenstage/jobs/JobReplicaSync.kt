package lichenstage.jobs

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import lichenstage.cluster.CompletionSyncReply
import lichenstage.cluster.CompletionSyncRequest
import lichenstage.cluster.Frame
import lichenstage.cluster.JobsEnded
import lichenstage.common.Clock
import lichenstage.common.RateLimitedLog
import lichenstage.common.SECOND
import lichenstage.state.KeyValueStoreClient
import lichenstage.state.ReadResult
import lichenstage.state.ScanResult
import lichenstage.state.WatchResult

/** The other controllers of the deployment. */
class PeerChannel(
    /** Their labels. */
    val labels: List<String>,
    /** Sends a frame to the one of a label; it may be lost. */
    val send: (String, Frame) -> Unit,
)

/** Is notified of the ends of jobs. */
interface JobEndListener {
    /** These jobs have ended. */
    fun jobsEnded(jobs: List<String>)

    /** It became known how a job that others depend on has ended. */
    fun dependencyResolved()
}

/** Keeps the [JobReplica] of this process up to date: by a watch, and by the other controllers while the state service is unavailable. */
class JobReplicaSync(
    private val replica: JobReplica,
    private val dependencyGraph: DependencyGraph,
    private val peers: PeerChannel,
    private val state: KeyValueStoreClient,
    private val clock: Clock,
    private val scope: CoroutineScope,
    private val listener: JobEndListener,
) {
    private val log = RateLimitedLog.of("lichenstage.jobs", clock)
    private var isStale = false

    /** Starts to follow the open jobs. */
    fun start() {
        scope.launch {
            while (true) {
                delay(RESOLVE_INTERVAL_MS)
                dependencyGraph.unresolved(MAX_RESOLVED_AT_ONCE).forEach { resolve(it) }
            }
        }
        scope.launch {
            while (true) followOpenJobs()
        }
        scope.launch {
            while (true) {
                delay(PEER_SYNC_INTERVAL_MS)
                val now = clock.now()
                logStaleness(replica.revision >= 0 && !replica.isReadWithin(STALE_THRESHOLD_US, now))
                if (replica.isLagging(now)) requestMissingEnds(now)
            }
        }
    }

    private fun logStaleness(staleNow: Boolean) {
        if (staleNow == isStale) return
        isStale = staleNow
        log.info { "Open jobs ${if (staleNow) "not read any more" else "read again"} revision=${replica.revision}" }
    }

    private fun requestMissingEnds(now: Long) {
        for (peer in peers.labels) replica.syncRequest(peer, now)?.let { peers.send(peer, it) }
    }

    private suspend fun followOpenJobs() {
        val scannedUs = clock.now()
        val scan = state.scan(JobRecordCodec.OPEN)
        if (scan !is ScanResult.Complete) {
            delay(RETRY_INTERVAL_MS)
            return
        }
        applyEnds(replica.replaceAll(scan.entries.associate { id(it.key) to it.modRevision }, scan.revision, scannedUs))
        scan.entries.forEach { dependencyGraph.jobOpened(id(it.key), JobRecordCodec.dependencies(it.value)) }
        while (true) {
            val sentUs = clock.now()
            when (val result = state.watch(JobRecordCodec.OPEN, replica.revision, WATCH_TIMEOUT_MS)) {
                is WatchResult.Events -> {
                    val put = result.puts.associate { id(it.key) to it.modRevision }
                    result.puts.forEach { dependencyGraph.jobOpened(id(it.key), JobRecordCodec.dependencies(it.value)) }
                    applyEnds(replica.applyChanges(put, result.deletes.associate { id(it.key) to it.modRevision }, result.revision, sentUs))
                }

                WatchResult.Compacted -> {
                    return
                }

                WatchResult.Unavailable -> {
                    delay(RETRY_INTERVAL_MS)
                }
            }
        }
    }

    private fun id(key: String) = key.removePrefix(JobRecordCodec.OPEN)

    /** Reads how a job that others depend on has ended; they wait until that can be read. */
    private suspend fun resolve(job: String) {
        val read = state.get(JobRecordCodec.FINISHED + job)
        if (read is ReadResult.Found) jobFinished(job, JobRecordCodec.decodeFinished(read.entry.value).outcome)
    }

    /** It became known how the job has ended. */
    fun jobFinished(
        job: String,
        outcome: JobOutcome,
    ) {
        dependencyGraph.outcomeRecorded(job, outcome)
        listener.dependencyResolved()
    }

    /**
     * This process has recorded the cancellation of the job at [revision] and is about to confirm it to its user. The leader and the
     * owners of partitions are notified at once, so that the tasks stop early; nothing depends on that.
     */
    fun jobCancelled(
        job: String,
        revision: Long,
    ) {
        log.info { "Cancellation recorded job=$job revision=$revision" }
        replica.recordEnd(job, revision)
        applyEnds(listOf(job))
        peers.labels.forEach { peers.send(it, JobsEnded(listOf(job))) }
    }

    /** Another controller requests the ends that it may lack. */
    fun onSyncRequest(
        from: String,
        request: CompletionSyncRequest,
    ) {
        replica.syncReply(request)?.let { peers.send(from, it) }
    }

    /** Another controller has sent ends that this one may lack. */
    fun onSyncReply(
        from: String,
        answer: CompletionSyncReply,
    ) = applyEnds(replica.applySyncReply(from, answer))

    /** Another controller has confirmed the end of jobs to its user. */
    fun onJobsEnded(frame: JobsEnded) = applyEnds(replica.markEnded(frame.jobs))

    private fun applyEnds(jobs: List<String>) {
        jobs.forEach(dependencyGraph::jobClosed)
        if (jobs.isNotEmpty()) listener.jobsEnded(jobs)
    }

    private companion object {
        const val PEER_SYNC_INTERVAL_MS = 400L
        const val RETRY_INTERVAL_MS = 300L
        const val RESOLVE_INTERVAL_MS = 100L

        /** Longer than the watch takes while nothing changes: what was read counts from when it was asked for. */
        const val STALE_THRESHOLD_US = 8 * SECOND
        const val MAX_RESOLVED_AT_ONCE = 8

        /** Short: what was read counts from when it was asked for, and must not seem stale while nothing happens. */
        const val WATCH_TIMEOUT_MS = 2500L
    }
}
