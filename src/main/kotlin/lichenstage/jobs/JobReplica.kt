package lichenstage.jobs

import lichenstage.cluster.CompletionSyncReply
import lichenstage.cluster.CompletionSyncRequest
import lichenstage.common.SECOND
import lichenstage.common.withDrift

/**
 * This process's copy of the keys of the open jobs, with its age (invariant 15).
 *
 * Guards against an owner that keeps tasks of a cancelled job alive because it does not know of the cancellation. An owner can hold its
 * authority after the state service has stopped replying to it: authority means that no other controller may act, not that the owner's
 * data is fresh. A reply to a heartbeat renews the lease of its worker. Heartbeats therefore get replies only while [isCurrent] holds: this
 * process then knows every end that a user may have seen up to [maxStalenessUs] ago. Either of two proofs is sufficient:
 * - A read of the state service proves it for the time at which the request of the read was sent.
 * - During an outage, replies of **all** other controllers prove it. Each reply contains all ends that its sender learned of after the
 *   revision up to which this process has read. Users get replies only from controllers, and a controller reports only ends that it has
 *   learned of.
 *
 * A controller sends no such reply if its process has been reading the state service only since a later revision: it cannot know which
 * ends an earlier process of the same controller reported to users. Without either proof, heartbeats get no reply, and the tasks end in
 * time because the leases of their workers expire.
 */
class JobReplica(
    /** Identifies the end log of this process. It increases with each process of the controller. */
    private val incarnation: Long,
    /** The labels of all other controllers. Null if not all of them are known, in which case an outage cannot be bridged. */
    private val peerLabels: Set<String>?,
    override val maxStalenessUs: Long,
) : JobCompletions {
    private class EndLogEntry(
        val job: String,
        val revision: Long,
    )

    /**
     * The progress of applying another controller's end log. Entries before index [appliedUpTo] have been applied. [completeAsOfUs] is the
     * time of the latest request whose reply completed the log.
     */
    private class PeerProgress(
        val incarnation: Long,
        var appliedUpTo: Long,
        var completeAsOfUs: Long = Long.MIN_VALUE,
    )

    private val openRevisions = HashMap<String, Long>()

    /** The most recently learned ends, from any source. */
    private val endedJobs =
        object : LinkedHashMap<String, Unit>() {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, Unit>) = size > MAX_REMEMBERED_ENDS
        }

    /** The ends that this process has read from the state service, in the order of reading. */
    private val endLog = ArrayDeque<EndLogEntry>()

    /** The index of the first entry that [endLog] still contains. */
    private var logStartIndex = 0L

    /** The revision up to which [endLog] may lack ends. */
    private var logBaseRevision = -1L
    private val peerProgress = HashMap<String, PeerProgress>()

    /** The time at which the request of the latest successful read was sent. */
    private var lastReadAtUs = Long.MIN_VALUE

    /** The revision up to which all changes have been read from the state service; negative before the first read. */
    var revision = -1L
        private set

    /** Returns the revision of the job's open record, or null if the job is not known to be open. */
    fun openRevision(job: String): Long? = openRevisions[job]

    /** Replaces the copy by all open records, read by a request that was sent at [sentAtUs]. Returns the jobs that have ended. */
    fun replaceAll(
        revisionsByJob: Map<String, Long>,
        readRevision: Long,
        sentAtUs: Long,
    ): List<String> {
        val endedIds = openRevisions.keys.filter { it !in revisionsByJob }
        openRevisions.clear()
        openRevisions.putAll(revisionsByJob)
        if (revision < 0) logBaseRevision = maxOf(logBaseRevision, readRevision)
        // The revision of each end is not known, but it is at most that of this read.
        endedIds.forEach { recordEnd(it, readRevision) }
        recordRead(readRevision, sentAtUs)
        return endedIds
    }

    /** Applies the changes since [revision], read by a request that was sent at [sentAtUs]. Returns the jobs that have ended. */
    fun applyChanges(
        put: Map<String, Long>,
        deleted: Map<String, Long>,
        readRevision: Long,
        sentAtUs: Long,
    ): List<String> {
        openRevisions.putAll(put)
        for ((job, endRevision) in deleted) {
            // A deleted record is never put again under the same id, so a deletion overrides a put.
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

    /**
     * Adds an end that this process has seen in the state service, by the watch or by another request. [endRevision] is the revision of the
     * end or a later one.
     */
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

    /** Adds ends that another controller has reported. Returns the jobs whose end was not known before. */
    fun markEnded(jobs: List<String>): List<String> = jobs.filter { endedJobs.put(it, Unit) == null }

    /**
     * Returns the request to [peer] for ends that may be missing here. Returns null before the first read, because that read determines the
     * revision to start from.
     */
    fun createSyncRequest(
        peer: String,
        nowUs: Long,
    ): CompletionSyncRequest? {
        if (revision < 0) return null
        val progress = peerProgress[peer]
        return CompletionSyncRequest(incarnation, nowUs, revision, progress?.incarnation ?: 0, progress?.appliedUpTo ?: 0)
    }

    /**
     * Returns the next piece of the reply to another controller's request. Returns null if this process cannot know all ends that users may
     * have seen.
     */
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

    /** Applies a reply of [peer]. Returns the jobs whose end was not known before. */
    fun applySyncReply(
        peer: String,
        reply: CompletionSyncReply,
    ): List<String> {
        if (reply.incarnation != incarnation) return emptyList()
        val progress =
            peerProgress[peer]?.takeIf { it.incarnation == reply.logIncarnation }
                ?: PeerProgress(reply.logIncarnation, reply.since).also { peerProgress[peer] = it }
        // A gap between the applied pieces and this one would hide ends. The missing piece is requested again.
        if (reply.since > progress.appliedUpTo) return emptyList()
        progress.appliedUpTo = maxOf(progress.appliedUpTo, reply.upTo)
        if (reply.isFinal) progress.completeAsOfUs = maxOf(progress.completeAsOfUs, reply.requestedAtUs)
        return markEnded(reply.jobs)
    }

    /** Returns the latest time for which this process knows every end that a user had seen by then; [Long.MIN_VALUE] if there is none. */
    private fun knownEndsAsOfUs(): Long {
        val peersAsOfUs =
            peerLabels?.takeIf { revision >= 0 && it.isNotEmpty() }?.minOf { peerProgress[it]?.completeAsOfUs ?: Long.MIN_VALUE }
        return maxOf(lastReadAtUs, peersAsOfUs ?: Long.MIN_VALUE)
    }

    /** Returns whether heartbeats may get replies, which renew the leases of workers (invariant 15). */
    fun isCurrent(nowUs: Long) = knownEndsAsOfUs() > Long.MIN_VALUE && nowUs - knownEndsAsOfUs() <= maxStalenessUs

    /** Returns whether the last read of the state service is older than it can be while the service is available. */
    fun isLagging(nowUs: Long) = revision >= 0 && nowUs - lastReadAtUs > LAG_THRESHOLD_US

    /** Returns whether the last read of the state service is at most [maxAgeUs] microseconds old. */
    fun hasReadWithin(
        maxAgeUs: Long,
        nowUs: Long,
    ) = revision >= 0 && nowUs - lastReadAtUs <= maxAgeUs

    /**
     * Returns whether the job has certainly ended, given that one of its tasks has been known since [sinceUs]. The job was accepted before
     * that time, so it has ended if a later read does not find its open record.
     */
    override fun hasEnded(
        job: String,
        sinceUs: Long,
    ) = job in endedJobs || (lastReadAtUs > sinceUs && job !in openRevisions)

    override fun confirmedOpenAtUs(job: String): Long? =
        knownEndsAsOfUs().takeIf { job in openRevisions && job !in endedJobs && it > Long.MIN_VALUE }

    companion object {
        /**
         * The margin for two delays: from the last reply to a worker until its lease has expired, in excess of the lease, and from learning
         * of an end until the process has acted on it.
         */
        private const val LEASE_END_MARGIN_US = 3 * SECOND
        private const val MIN_STALENESS_US = 5 * SECOND
        private const val LAG_THRESHOLD_US = 4 * SECOND
        private const val MAX_REMEMBERED_ENDS = 20_000
        private const val MAX_LOG_ENTRIES = 4_000
        private const val MAX_JOBS_PER_REPLY = 400

        /**
         * Returns the maximum age of the known ends, in microseconds, at which a heartbeat may still get a reply. The lease that such a
         * reply renews still ends a cancelled task within `cancel_s` of the cancellation.
         */
        fun maxStalenessUs(
            cancellationTimeLimitUs: Long,
            leaseUs: Long,
        ) = maxOf(cancellationTimeLimitUs - withDrift(leaseUs) - LEASE_END_MARGIN_US, MIN_STALENESS_US)
    }
}
