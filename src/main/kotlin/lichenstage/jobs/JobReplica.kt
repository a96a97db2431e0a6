package lichenstage.jobs

import lichenstage.cluster.CompletionSyncReply
import lichenstage.cluster.CompletionSyncRequest
import lichenstage.common.SECOND
import lichenstage.common.withDrift

/**
 * This process's copy of the keys of the open jobs, and how stale it may be (invariant 15).
 *
 * Guards against tasks of a cancelled job that are kept alive by an owner who has not heard of the cancellation. Authority can outlast
 * every answer of the state service, since it only says that nobody else may act; it says nothing of what its holder knows. So what
 * renews the leases of workers asks [current]: every end of a job that a user may have been told of until [answerBoundUs] ago is known
 * here. Two things show that:
 * - a read of the state service, as of when it was asked;
 * - where that is away, the word of **all** other controllers, each of which hands over all the ends that it has learned of after the
 *   revision up to which this one has read. Only a controller tells users, and only of what it has learned.
 *
 * A controller that has not read the state service itself since before that revision cannot know what the process before it has told,
 * and hands over nothing. Where nobody can say, answers stop, and the workers' leases end the tasks in time.
 */
class JobReplica(
    /** Rises from process to process: names the log of this one. */
    private val incarnation: Long,
    /** Null where they are not all known, so that nobody can speak for all. */
    private val others: Set<String>?,
    override val answerBoundUs: Long,
) : JobEnds {
    private class End(
        val job: String,
        val revision: Long,
    )

    /** What was taken of another controller's log, and as of when that was all that it knew. */
    private class Heard(
        val incarnation: Long,
        var upTo: Long,
        var allUs: Long = Long.MIN_VALUE,
    )

    private val open = HashMap<String, Long>()

    /** Ends that were learned of lately, from whomever. */
    private val ended =
        object : LinkedHashMap<String, Unit>() {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, Unit>) = size > REMEMBERED
        }

    /** Ends that this process has learned from the state service, in the order in which it did. */
    private val log = ArrayDeque<End>()
    private var first = 0L

    /** Ends up to this revision may be missing from the log. */
    private var base = -1L
    private val heard = HashMap<String, Heard>()
    private var readUs = Long.MIN_VALUE

    /** Up to here all has been read from the state service; negative before the first read. */
    var revision = -1L
        private set

    /** The revision of the job's open record, where it is known to be open. */
    fun stamp(job: String): Long? = open[job]

    /** All records, read whole by a request that was sent at [sentUs]. Returns what has ended. */
    fun loaded(
        stamps: Map<String, Long>,
        readRevision: Long,
        sentUs: Long,
    ): List<String> {
        val gone = open.keys.filter { it !in stamps }
        open.clear()
        open.putAll(stamps)
        if (revision < 0) base = maxOf(base, readRevision)
        // When each went is not known: at the latest now.
        gone.forEach { learned(it, readRevision) }
        read(readRevision, sentUs)
        return gone
    }

    /** What has changed since [revision], read by a request that was sent at [sentUs]. Returns what has ended. */
    fun changed(
        put: Map<String, Long>,
        deleted: Map<String, Long>,
        readRevision: Long,
        sentUs: Long,
    ): List<String> {
        open.putAll(put)
        for ((job, at) in deleted) {
            // A record is never put again under the same id.
            open.remove(job)
            learned(job, at)
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
    fun learned(
        job: String,
        at: Long,
    ) {
        ended[job] = Unit
        if (at <= base) return
        log.addLast(End(job, at))
        if (log.size > LOGGED) {
            base = maxOf(base, log.removeFirst().revision)
            first++
        }
    }

    /** Another controller says that these have ended. Returns those that are news. */
    fun told(jobs: List<String>): List<String> = jobs.filter { ended.put(it, Unit) == null }

    /** What to ask [other] for; null where nothing was read yet, so that there is nothing to start from. */
    fun question(
        other: String,
        now: Long,
    ): CompletionSyncRequest? {
        if (revision < 0) return null
        val known = heard[other]
        return CompletionSyncRequest(incarnation, now, revision, known?.incarnation ?: 0, known?.upTo ?: 0)
    }

    /** The answer to another controller's question, a piece at a time; null where this one can't know all that users were told. */
    fun handOver(question: CompletionSyncRequest): CompletionSyncReply? {
        if (revision < 0 || question.revision < base) return null
        val since = if (question.logIncarnation == incarnation) maxOf(question.upTo, first) else first
        val end = first + log.size
        val jobs = ArrayList<String>()
        var upTo = since
        while (upTo < end && jobs.size < MOST_TOLD) {
            val next = log[(upTo - first).toInt()]
            if (next.revision > question.revision) jobs += next.job
            upTo++
        }
        return CompletionSyncReply(question.incarnation, question.askedUs, incarnation, since, upTo, jobs, whole = upTo == end)
    }

    /** Takes in what [other] answered; returns the ends that are news. */
    fun answered(
        other: String,
        answer: CompletionSyncReply,
    ): List<String> {
        if (answer.incarnation != incarnation) return emptyList()
        val known =
            heard[other]?.takeIf { it.incarnation == answer.logIncarnation }
                ?: Heard(answer.logIncarnation, answer.since).also { heard[other] = it }
        // A piece that doesn't join what was taken would leave some out unseen; it is asked for again.
        if (answer.since > known.upTo) return emptyList()
        known.upTo = maxOf(known.upTo, answer.upTo)
        if (answer.whole) known.allUs = maxOf(known.allUs, answer.askedUs)
        return told(answer.jobs)
    }

    /** Every end of a job that a user had been told of by then is known here. */
    private fun asOfUs(): Long {
        val told = others?.takeIf { revision >= 0 && it.isNotEmpty() }?.minOf { heard[it]?.allUs ?: Long.MIN_VALUE }
        return maxOf(readUs, told ?: Long.MIN_VALUE)
    }

    /** What renews the leases of workers may be answered. */
    fun current(now: Long) = asOfUs() > Long.MIN_VALUE && now - asOfUs() <= answerBoundUs

    /** The state service has not shown anything for a while. */
    fun lagging(now: Long) = revision >= 0 && now - readUs > LAGGING_US

    /** What it has shown is no older than that. */
    fun readWithin(
        us: Long,
        now: Long,
    ) = revision >= 0 && now - readUs <= us

    /**
     * The job is over for certain, where a task of it has been known since [sinceUs]: it was accepted before, so a record that a
     * later read does not find has ended.
     */
    override fun over(
        job: String,
        sinceUs: Long,
    ) = job in ended || (readUs > sinceUs && job !in open)

    override fun openAsOfUs(job: String): Long? = asOfUs().takeIf { job in open && job !in ended && it > Long.MIN_VALUE }

    companion object {
        /** From the last answer to a worker until its lease has ended, and until what was learned has been acted on. */
        private const val MARGIN_US = 3 * SECOND
        private const val LEAST_BOUND_US = 5 * SECOND
        private const val LAGGING_US = 4 * SECOND
        private const val REMEMBERED = 20_000
        private const val LOGGED = 4_000
        private const val MOST_TOLD = 400

        /**
         * How stale an answer to a worker may be: the lease that it renews ends a cancelled task at the latest that long after, and
         * within `cancel_s` of the cancellation all the same.
         */
        fun bound(
            cancelUs: Long,
            leaseUs: Long,
        ) = maxOf(cancelUs - withDrift(leaseUs) - MARGIN_US, LEAST_BOUND_US)
    }
}
