package lichenstage.jobs

import lichenstage.cluster.CompletionSyncReply
import lichenstage.cluster.CompletionSyncRequest
import lichenstage.common.SECOND
import lichenstage.common.withDrift

/**
 * This process's copy of the keys of the open jobs, and how stale it may be (invariant 15).
 *
 * Guards against an owner that keeps tasks of a cancelled job alive because it does not know of the cancellation. Authority can outlast
 * the answers of the state service: it means that no other controller may act, not that its holder's data is fresh. So heartbeats are
 * answered, which renews the leases of workers, only while [isCurrent]: every end that a user may have seen until [maxStalenessUs] ago
 * is known here. There are two proofs of that:
 * - a read of the state service, as of when the request was sent;
 * - during an outage, replies of **all** other controllers, each with all the ends that it has learned of after the revision up to which
 *   this one has read. Users are answered by controllers only, and only with what those have learned.
 *
 * A controller that has not read the state service itself since before that revision cannot know what an earlier process of its own has
 * answered to users, and replies with nothing. Without either proof heartbeats go unanswered, and lease expiry ends the tasks in time.
 */
class JobReplica(
    /** Identifies the log of this process; increases with each process of the controller. */
    private val incarnation: Long,
    /** The labels of all other controllers; null if they are not all known, so that an outage cannot be bridged. */
    private val peerLabels: Set<String>?,
    override val maxStalenessUs: Long,
) : JobCompletions {
    private class EndLogEntry(
        val job: String,
        val revision: Long,
    )

    /** How much of another controller's log has been applied, and as of when that was all of it. */
    private class PeerProgress(
        val incarnation: Long,
        var appliedUpTo: Long,
        var completeAsOfUs: Long = Long.MIN_VALUE,
    )

    private val openRevisions = HashMap<String, Long>()

    /** The ends that became known last, from any source. */
    private val endedJobs =
        object : LinkedHashMap<String, Unit>() {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, Unit>) = size > MAX_REMEMBERED_ENDS
        }

    /** Ends that this process has read from the state service, in the order in which it did. */
    private val endLog = ArrayDeque<EndLogEntry>()
    private var logStartIndex = 0L

    /** Ends up to this revision may be missing from the log. */
    private var logBaseRevision = -1L
    private val peerProgress = HashMap<String, PeerProgress>()
    private var lastReadAtUs = Long.MIN_VALUE

    /** Up to here all has been read from the state service; negative before the first read. */
    var revision = -1L
        private set

    /** The revision of the job's open record, where it is known to be open. */
    fun openRevision(job: String): Long? = openRevisions[job]

    /** All records, read whole by a request that was sent at [sentAtUs]. Returns what has ended. */
    fun replaceAll(
        revisionsByJob: Map<String, Long>,
        readRevision: Long,
        sentAtUs: Long,
    ): List<String> {
        val endedIds = openRevisions.keys.filter { it !in revisionsByJob }
        openRevisions.clear()
        openRevisions.putAll(revisionsByJob)
        if (revision < 0) logBaseRevision = maxOf(logBaseRevision, readRevision)
        // When each went is not known: at the latest now.
        endedIds.forEach { recordEnd(it, readRevision) }
        recordRead(readRevision, sentAtUs)
        return endedIds
    }

    /** What has changed since [revision], read by a request that was sent at [sentAtUs]. Returns what has ended. */
    fun applyChanges(
        put: Map<String, Long>,
        deleted: Map<String, Long>,
        readRevision: Long,
        sentAtUs: Long,
    ): List<String> {
        openRevisions.putAll(put)
        for ((job, endRevision) in deleted) {
            // A record is never put again under the same id.
            openRevisions.remove(job)
            recordEnd(job, endRevision)
        }
        recordRead(readRevision, sentAtUs)
        return deleted.keys.toList()
    }

    private fun recordRead(
        readRevision: Long,
        sentAtUs: Long,
    ) {
        revision = maxOf(revision, readRevision)
        lastReadAtUs = maxOf(lastReadAtUs, sentAtUs)
    }

    /** The state service has shown this process, otherwise than by the watch, that the job had ended by [endRevision]. */
    fun recordEnd(
        job: String,
        endRevision: Long,
    ) {
        endedJobs[job] = Unit
        if (endRevision <= logBaseRevision) return
        endLog.addLast(EndLogEntry(job, endRevision))
        if (endLog.size > MAX_LOG_ENTRIES) {
            logBaseRevision = maxOf(logBaseRevision, endLog.removeFirst().revision)
            logStartIndex++
        }
    }

    /** Another controller says that these jobs have ended. Returns those that were not known to have. */
    fun markEnded(jobs: List<String>): List<String> = jobs.filter { endedJobs.put(it, Unit) == null }

    /** The request to [peer] for the ends that may be missing here; null before the first read, which gives the revision to start from. */
    fun createSyncRequest(
        peer: String,
        nowUs: Long,
    ): CompletionSyncRequest? {
        if (revision < 0) return null
        val progress = peerProgress[peer]
        return CompletionSyncRequest(incarnation, nowUs, revision, progress?.incarnation ?: 0, progress?.appliedUpTo ?: 0)
    }

    /** The reply to another controller's request, a piece at a time; null where this one can't know all ends that users may have seen. */
    fun createSyncReply(request: CompletionSyncRequest): CompletionSyncReply? {
        if (revision < 0 || request.revision < logBaseRevision) return null
        val since = if (request.logIncarnation == incarnation) maxOf(request.upTo, logStartIndex) else logStartIndex
        val end = logStartIndex + endLog.size
        val jobs = ArrayList<String>()
        var upTo = since
        while (upTo < end && jobs.size < MAX_JOBS_PER_REPLY) {
            val next = endLog[(upTo - logStartIndex).toInt()]
            if (next.revision > request.revision) jobs += next.job
            upTo++
        }
        return CompletionSyncReply(request.incarnation, request.requestedAtUs, incarnation, since, upTo, jobs, isFinal = upTo == end)
    }

    /** Applies the reply of [peer]; returns the ends that were not known. */
    fun applySyncReply(
        peer: String,
        reply: CompletionSyncReply,
    ): List<String> {
        if (reply.incarnation != incarnation) return emptyList()
        val progress =
            peerProgress[peer]?.takeIf { it.incarnation == reply.logIncarnation }
                ?: PeerProgress(reply.logIncarnation, reply.since).also { peerProgress[peer] = it }
        // A piece that doesn't join what was taken would leave some out unseen; it is asked for again.
        if (reply.since > progress.appliedUpTo) return emptyList()
        progress.appliedUpTo = maxOf(progress.appliedUpTo, reply.upTo)
        if (reply.isFinal) progress.completeAsOfUs = maxOf(progress.completeAsOfUs, reply.requestedAtUs)
        return markEnded(reply.jobs)
    }

    /** The time by which every end that a user had seen is known here. */
    private fun knownEndsAsOfUs(): Long {
        val peersAsOfUs =
            peerLabels?.takeIf { revision >= 0 && it.isNotEmpty() }?.minOf {
                peerProgress[it]?.completeAsOfUs
                    ?: Long.MIN_VALUE
            }
        return maxOf(lastReadAtUs, peersAsOfUs ?: Long.MIN_VALUE)
    }

    /** Heartbeats may be answered, which renews the leases of workers (invariant 15). */
    fun isCurrent(nowUs: Long) = knownEndsAsOfUs() > Long.MIN_VALUE && nowUs - knownEndsAsOfUs() <= maxStalenessUs

    /** The last read of the state service is older than is usual while it is available. */
    fun isLagging(nowUs: Long) = revision >= 0 && nowUs - lastReadAtUs > LAG_THRESHOLD_US

    /** The last read of the state service is no older than [maxAgeUs] microseconds. */
    fun hasReadWithin(
        maxAgeUs: Long,
        nowUs: Long,
    ) = revision >= 0 && nowUs - lastReadAtUs <= maxAgeUs

    /**
     * Whether the job has certainly ended, given that a task of it has been known since [sinceUs]: it was accepted before that, so if a
     * later read does not find its open record, it has ended.
     */
    override fun hasEnded(
        job: String,
        sinceUs: Long,
    ) = job in endedJobs || (lastReadAtUs > sinceUs && job !in openRevisions)

    override fun confirmedOpenAtUs(job: String): Long? =
        knownEndsAsOfUs().takeIf {
            job in openRevisions && job !in endedJobs &&
                it > Long.MIN_VALUE
        }

    companion object {
        /** From the last answer to a worker until its lease has ended, and until what was learned has been acted on. */
        private const val LEASE_END_MARGIN_US = 3 * SECOND
        private const val MIN_STALENESS_US = 5 * SECOND
        private const val LAG_THRESHOLD_US = 4 * SECOND
        private const val MAX_REMEMBERED_ENDS = 20_000
        private const val MAX_LOG_ENTRIES = 4_000
        private const val MAX_JOBS_PER_REPLY = 400

        /**
         * How stale an answer to a worker may be: the lease that it renews ends a cancelled task at the latest that long after, and
         * within `cancel_s` of the cancellation all the same.
         */
        fun maxStalenessUs(
            cancelUs: Long,
            leaseUs: Long,
        ) = maxOf(cancelUs - withDrift(leaseUs) - LEASE_END_MARGIN_US, MIN_STALENESS_US)
    }
}
