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
    private val others: Set<String>?,
    override val maxStalenessUs: Long,
) : JobCompletions {
    private class End(
        val job: String,
        val revision: Long,
    )

    /** How much of another controller's log has been applied, and as of when that was all of it. */
    private class PeerProgress(
        val incarnation: Long,
        var upTo: Long,
        var allUs: Long = Long.MIN_VALUE,
    )

    private val openRevisions = HashMap<String, Long>()

    /** The ends that became known last, from any source. */
    private val endedJobs =
        object : LinkedHashMap<String, Unit>() {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, Unit>) = size > MAX_REMEMBERED_ENDS
        }

    /** Ends that this process has read from the state service, in the order in which it did. */
    private val endLog = ArrayDeque<End>()
    private var logStart = 0L

    /** Ends up to this revision may be missing from the log. */
    private var logBaseRevision = -1L
    private val peerProgress = HashMap<String, PeerProgress>()
    private var readUs = Long.MIN_VALUE

    /** Up to here all has been read from the state service; negative before the first read. */
    var revision = -1L
        private set

    /** The revision of the job's open record, where it is known to be open. */
    fun openRevision(job: String): Long? = openRevisions[job]

    /** All records, read whole by a request that was sent at [sentUs]. Returns what has ended. */
    fun replaceAll(
        stamps: Map<String, Long>,
        readRevision: Long,
        sentUs: Long,
    ): List<String> {
        val gone = openRevisions.keys.filter { it !in stamps }
        openRevisions.clear()
        openRevisions.putAll(stamps)
        if (revision < 0) logBaseRevision = maxOf(logBaseRevision, readRevision)
        // When each went is not known: at the latest now.
        gone.forEach { recordEnd(it, readRevision) }
        read(readRevision, sentUs)
        return gone
    }

    /** What has changed since [revision], read by a request that was sent at [sentUs]. Returns what has ended. */
    fun applyChanges(
        put: Map<String, Long>,
        deleted: Map<String, Long>,
        readRevision: Long,
        sentUs: Long,
    ): List<String> {
        openRevisions.putAll(put)
        for ((job, at) in deleted) {
            // A record is never put again under the same id.
            openRevisions.remove(job)
            recordEnd(job, at)
        }
        read(readRevision, sentUs)
        return deleted.keys.toList()
    }

    private fun read(
        readRevision: Long,
        sentUs: Long,
    ) {
        revision = maxOf(revision, readRevision)
        readUs = maxOf(readUs, sentUs)
    }

    /** The state service has shown this process, otherwise than by the watch, that the job had ended by [at]. */
    fun recordEnd(
        job: String,
        at: Long,
    ) {
        endedJobs[job] = Unit
        if (at <= logBaseRevision) return
        endLog.addLast(End(job, at))
        if (endLog.size > MAX_LOG_ENTRIES) {
            logBaseRevision = maxOf(logBaseRevision, endLog.removeFirst().revision)
            logStart++
        }
    }

    /** Another controller says that these jobs have ended. Returns those that were not known to have. */
    fun markEnded(jobs: List<String>): List<String> = jobs.filter { endedJobs.put(it, Unit) == null }

    /** The request to [other] for the ends that may be missing here; null before the first read, which gives the revision to start from. */
    fun syncRequest(
        other: String,
        now: Long,
    ): CompletionSyncRequest? {
        if (revision < 0) return null
        val progress = peerProgress[other]
        return CompletionSyncRequest(incarnation, now, revision, progress?.incarnation ?: 0, progress?.upTo ?: 0)
    }

    /** The reply to another controller's request, a piece at a time; null where this one can't know all ends that users may have seen. */
    fun syncReply(request: CompletionSyncRequest): CompletionSyncReply? {
        if (revision < 0 || request.revision < logBaseRevision) return null
        val since = if (request.logIncarnation == incarnation) maxOf(request.upTo, logStart) else logStart
        val end = logStart + endLog.size
        val jobs = ArrayList<String>()
        var upTo = since
        while (upTo < end && jobs.size < MAX_JOBS_PER_REPLY) {
            val next = endLog[(upTo - logStart).toInt()]
            if (next.revision > request.revision) jobs += next.job
            upTo++
        }
        return CompletionSyncReply(request.incarnation, request.requestedAtUs, incarnation, since, upTo, jobs, isFinal = upTo == end)
    }

    /** Applies the reply of [other]; returns the ends that were not known. */
    fun applySyncReply(
        other: String,
        answer: CompletionSyncReply,
    ): List<String> {
        if (answer.incarnation != incarnation) return emptyList()
        val progress =
            peerProgress[other]?.takeIf { it.incarnation == answer.logIncarnation }
                ?: PeerProgress(answer.logIncarnation, answer.since).also { peerProgress[other] = it }
        // A piece that doesn't join what was taken would leave some out unseen; it is asked for again.
        if (answer.since > progress.upTo) return emptyList()
        progress.upTo = maxOf(progress.upTo, answer.upTo)
        if (answer.isFinal) progress.allUs = maxOf(progress.allUs, answer.requestedAtUs)
        return markEnded(answer.jobs)
    }

    /** The time by which every end that a user had seen is known here. */
    private fun knowledgeTimeUs(): Long {
        val peersUs = others?.takeIf { revision >= 0 && it.isNotEmpty() }?.minOf { peerProgress[it]?.allUs ?: Long.MIN_VALUE }
        return maxOf(readUs, peersUs ?: Long.MIN_VALUE)
    }

    /** Heartbeats may be answered, which renews the leases of workers (invariant 15). */
    fun isCurrent(now: Long) = knowledgeTimeUs() > Long.MIN_VALUE && now - knowledgeTimeUs() <= maxStalenessUs

    /** The last read of the state service is older than is usual while it is available. */
    fun isLagging(now: Long) = revision >= 0 && now - readUs > LAG_THRESHOLD_US

    /** The last read of the state service is no older than [us] microseconds. */
    fun isReadWithin(
        us: Long,
        now: Long,
    ) = revision >= 0 && now - readUs <= us

    /**
     * Whether the job has certainly ended, given that a task of it has been known since [sinceUs]: it was accepted before that, so if a
     * later read does not find its open record, it has ended.
     */
    override fun hasEnded(
        job: String,
        sinceUs: Long,
    ) = job in endedJobs || (readUs > sinceUs && job !in openRevisions)

    override fun confirmedOpenUs(job: String): Long? =
        knowledgeTimeUs().takeIf {
            job in openRevisions && job !in endedJobs &&
                it > Long.MIN_VALUE
        }

    companion object {
        /** From the last answer to a worker until its lease has ended, and until what was learned has been acted on. */
        private const val MARGIN_US = 3 * SECOND
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
        ) = maxOf(cancelUs - withDrift(leaseUs) - MARGIN_US, MIN_STALENESS_US)
    }
}
