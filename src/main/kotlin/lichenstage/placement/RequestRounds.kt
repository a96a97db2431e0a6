package lichenstage.placement

import lichenstage.cluster.HeldSlots
import lichenstage.cluster.Offer
import lichenstage.cluster.StartOrder
import lichenstage.model.PartitionAssignment
import lichenstage.model.Resources

/** What the leader knows that a round of requests depends on. */
internal interface RoundContext {
    /** Null while nothing was heard of the partition. */
    fun partition(id: String): PartitionState?

    /** How many of the [held] places on a machine may be used. */
    fun usableSlots(
        machine: String,
        held: Int,
    ): Int

    /** What may be in use by nobody knows whom. */
    fun unaccountedUse(): Resources

    /** Partitions that were heard not long ago: once all of them have answered, nobody else is waited for. */
    fun reachablePartitions(now: Long): Set<String>
}

/** One round of requests after the other: broadcast, gather the offers, start tasks on the roomiest, release the rest. */
internal class RequestRounds(
    private val term: Long,
    private val assignment: PartitionAssignment,
    private val settings: PlacementSettings,
    private val planner: RequestPlanner,
    private val zones: ZoneConstraints,
    private val attempts: RunningAttempts,
    private val outbox: PartitionOutbox,
    private val context: RoundContext,
) {
    private var round: RequestRound? = null
    private var attemptCounter = 0L
    private var changedSinceRound = true
    private var askedUs = Long.MIN_VALUE / 2

    /** Something has changed that a request may gain by. */
    fun markChanged() {
        changedSinceRound = true
    }

    /** A partition's offer; one for a round that is over tells nothing. */
    fun addOffer(
        partition: String,
        offer: Offer,
        now: Long,
    ) = round?.addOffer(partition, offer.stamp, offer.held, now, settings.betaUs)

    /** Time has passed; [waiting] gives the jobs with something to place, in the order of the queue. */
    fun tick(
        now: Long,
        waiting: () -> List<Job>,
    ) {
        val current = round
        if (current != null && (current.allAnswered(context.reachablePartitions(now)) || now >= current.deadlineUs)) decide(current, now)
        if (round == null &&
            now - askedUs >= if (changedSinceRound) settings.minRoundIntervalUs else settings.idleRoundIntervalUs
        ) {
            ask(waiting, now)
        }
    }

    /** Broadcasts requests for the first jobs in the queue that have something to place. */
    private fun ask(
        waiting: () -> List<Job>,
        now: Long,
    ) {
        changedSinceRound = false
        askedUs = now
        val unaccountedUse = context.unaccountedUse()
        val requests =
            planner.requests(waiting(), now) { spec, planned -> attempts.allowance(spec.team, spec.resources, unaccountedUse, planned) }
        if (requests.isEmpty()) return
        round = RequestRound(requests, now, settings.alphaUs)
        val frames = requests.map { it.request }
        assignment.partitions.forEach { outbox.send(it, now, requests = frames) }
    }

    /** Keeps the roomiest of what is held, starts tasks there, and lets go of the rest. */
    private fun decide(
        current: RequestRound,
        now: Long,
    ) {
        round = null
        val unaccountedUse = context.unaccountedUse()
        val starts = HashMap<String, ArrayList<StartOrder>>()
        val started = ArrayList<Attempt>()
        for (asked in current.requests) {
            if (asked.job.phase != JobPhase.OPEN) continue
            for (attempt in place(asked, current, unaccountedUse, now)) {
                started += attempt
                starts.getOrPut(attempt.partition) { ArrayList() } +=
                    StartOrder(asked.request.stamp, attempt.machine, attempt.index, attempt.number)
            }
        }
        val releases = current.requests.map { it.request.stamp }
        for (id in assignment.partitions) {
            val here = starts[id].orEmpty()
            val chosen = here.mapTo(HashSet()) { it.stamp }
            val seq = outbox.send(id, now, starts = here, releases = releases.filter { it !in chosen })
            started.forEach { if (it.partition == id) it.seq = seq }
        }
        if (started.isNotEmpty()) changedSinceRound = true
    }

    /** Attempts on the roomiest of what is held for a request. */
    private fun place(
        asked: JobRequest,
        current: RequestRound,
        unaccountedUse: Resources,
        now: Long,
    ): List<Attempt> {
        val job = asked.job
        val most = minOf(asked.request.count, attempts.allowance(job.spec.team, job.spec.resources, unaccountedUse))
        val offers = current.of(asked.request.stamp).mapValues { (_, held) -> held.mapNotNull(::usable) }
        val placed = ArrayList<Attempt>()
        for (place in OfferSelection.selectRoomiest(offers, most, zones::zoneOf, zones.roomIn(job, offers))) {
            val index = job.nextPendingTask()
            if (index < 0) break
            val attempt = Attempt(job, index, newAttempt(), place.machine, place.partition)
            attempt.partitionTerm = context.partition(place.partition)!!.term
            // Not told by any frame so far: its own is sent after this.
            attempt.seq = Long.MAX_VALUE
            attempts.track(attempt)
            job.placedUs = now
            placed += attempt
        }
        return placed
    }

    private fun usable(held: HeldSlots): HeldSlots? {
        val places = context.usableSlots(held.machine, held.count)
        if (places == held.count) return held
        return if (places > 0) held.copy(count = places) else null
    }

    /** Unique and rising over leaders, with no write: the term is the high part (invariant 7). */
    private fun newAttempt() = (term shl TERM_SHIFT) + ++attemptCounter

    private companion object {
        const val TERM_SHIFT = 32
    }
}
