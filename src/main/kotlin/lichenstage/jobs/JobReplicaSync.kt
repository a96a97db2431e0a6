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

/** The channel to the other controllers of the deployment. */
class PeerChannel(
    /** The labels of the other controllers. */
    val labels: List<String>,
    /** Sends a frame to the controller with the given label. The frame may be lost. */
    val send: (String, Frame) -> Unit,
)

/** Receives notifications about the ends of jobs. */
interface JobEndListener {
    /** Handles the end of these jobs. */
    fun onJobsEnded(jobs: List<String>)

    /** Handles a newly known outcome of a job that others depend on. */
    fun onDependencyResolved()
}

/**
 * Keeps the [JobReplica] of this process up to date. It watches the state service, and it asks the other controllers for ends while the
 * service is unavailable.
 */
class JobReplicaSync(
    private val replica: JobReplica,
    private val dependencyGraph: DependencyGraph,
    private val peers: PeerChannel,
    private val store: KeyValueStoreClient,
    private val clock: Clock,
    private val scope: CoroutineScope,
    private val listener: JobEndListener,
) {
    private val log = RateLimitedLog.of("lichenstage.jobs", clock)
    private var isStale = false

    /** Starts the loops that follow the open records, read the outcomes of dependencies and request ends from the other controllers. */
    fun start() {
        scope.launch {
            while (true) {
                delay(RESOLVE_INTERVAL_MS)
                dependencyGraph.findUnresolved(MAX_RESOLVED_AT_ONCE).forEach { resolveOutcome(it) }
            }
        }
        scope.launch {
            while (true) followOpenJobs()
        }
        scope.launch {
            while (true) {
                delay(PEER_SYNC_INTERVAL_MS)
                val nowUs = clock.now()
                logStaleness(replica.revision >= 0 && !replica.hasReadWithin(STALE_THRESHOLD_US, nowUs))
                if (replica.isLagging(nowUs)) requestMissingEnds(nowUs)
            }
        }
    }

    private fun logStaleness(isStaleNow: Boolean) {
        if (isStaleNow == isStale) return
        isStale = isStaleNow
        log.info { "Reads of open jobs ${if (isStaleNow) "stopped" else "resumed"} revision=${replica.revision}" }
    }

    private fun requestMissingEnds(nowUs: Long) {
        for (peer in peers.labels) replica.createSyncRequest(peer, nowUs)?.let { peers.send(peer, it) }
    }

    private suspend fun followOpenJobs() {
        val scanSentAtUs = clock.now()
        val scan = store.scan(JobRecordCodec.OPEN_PREFIX)
        if (scan !is ScanResult.Complete) {
            delay(RETRY_INTERVAL_MS)
            return
        }
        applyEnds(replica.replaceAll(scan.entries.associate { jobId(it.key) to it.modRevision }, scan.revision, scanSentAtUs))
        scan.entries.forEach { dependencyGraph.onJobOpened(jobId(it.key), JobRecordCodec.decodeDependencies(it.value)) }
        while (true) {
            val sentAtUs = clock.now()
            when (val result = store.watch(JobRecordCodec.OPEN_PREFIX, replica.revision, WATCH_TIMEOUT_MS)) {
                is WatchResult.Events -> {
                    val revisionsByJob = result.puts.associate { jobId(it.key) to it.modRevision }
                    result.puts.forEach { dependencyGraph.onJobOpened(jobId(it.key), JobRecordCodec.decodeDependencies(it.value)) }
                    applyEnds(
                        replica.applyChanges(
                            revisionsByJob,
                            result.deletes.associate { jobId(it.key) to it.modRevision },
                            result.revision,
                            sentAtUs,
                        ),
                    )
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

    private fun jobId(key: String) = key.removePrefix(JobRecordCodec.OPEN_PREFIX)

    /** Reads the outcome of a finished job that others depend on. Its dependents wait until the read succeeds. */
    private suspend fun resolveOutcome(job: String) {
        val read = store.get(JobRecordCodec.FINISHED_PREFIX + job)
        if (read is ReadResult.Found) onJobFinished(job, JobRecordCodec.decodeFinished(read.entry.value).outcome)
    }

    /** Handles the outcome of a finished job, for the jobs that depend on it. */
    fun onJobFinished(
        job: String,
        outcome: JobOutcome,
    ) {
        dependencyGraph.onOutcomeRecorded(job, outcome)
        listener.onDependencyResolved()
    }

    /**
     * Handles a cancellation that this process has recorded at [revision] and is about to confirm to the user. The leader and the owners
     * of partitions are notified at once so that the tasks stop early. Correctness does not depend on these notifications.
     */
    fun onJobCancelled(
        job: String,
        revision: Long,
    ) {
        log.info { "Cancellation recorded job=$job revision=$revision" }
        replica.recordEnd(job, revision)
        applyEnds(listOf(job))
        peers.labels.forEach { peers.send(it, JobsEnded(listOf(job))) }
    }

    /** Handles another controller's request for ends that it may lack. */
    fun onSyncRequest(
        from: String,
        request: CompletionSyncRequest,
    ) {
        replica.createSyncReply(request)?.let { peers.send(from, it) }
    }

    /** Handles another controller's reply with ends that may be missing here. */
    fun onSyncReply(
        from: String,
        reply: CompletionSyncReply,
    ) = applyEnds(replica.applySyncReply(from, reply))

    /** Handles another controller's notification that it is confirming the end of jobs to a user. */
    fun onJobsEnded(frame: JobsEnded) = applyEnds(replica.markEnded(frame.jobs))

    private fun applyEnds(jobs: List<String>) {
        jobs.forEach(dependencyGraph::onJobClosed)
        if (jobs.isNotEmpty()) listener.onJobsEnded(jobs)
    }

    private companion object {
        const val PEER_SYNC_INTERVAL_MS = 400L
        const val RETRY_INTERVAL_MS = 300L
        const val RESOLVE_INTERVAL_MS = 100L

        /** Longer than a watch request takes while nothing changes: the age of a read counts from the time of its request. */
        const val STALE_THRESHOLD_US = 8 * SECOND
        const val MAX_RESOLVED_AT_ONCE = 8

        /** Short, because the age of a read counts from the time of its request: the replica must not seem stale while nothing changes. */
        const val WATCH_TIMEOUT_MS = 2500L
    }
}
