package lichenstage.placement

import lichenstage.cluster.HeldSlots
import lichenstage.cluster.Offer
import lichenstage.cluster.StartOrder
import lichenstage.model.PartitionAssignment
import lichenstage.model.Resources

/** What the leader knows that a round of requests depends on. */
internal interface RoundContext {
    /** The state of a partition; null while no frame of it has come. */
    fun partition(id: String): PartitionState?

    /** How many of the [held] slots on a machine may be used. */
    fun usableSlots(
        machine: String,
        held: Int,
    ): Int

    /** Resources in use that can't be attributed to a team, and so count for each of them. */
    fun unaccountedUse(): Resources

    /** Partitions of which a frame came not long ago: a round waits for no others. */
    fun reachablePartitions(now: Long): Set<String>
}

/**
 * Runs rounds of placement requests, one at a time: broadcasts requests, collects offers, starts tasks on the roomiest of them (worst
 * fit), and releases the rest.
 */
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
    private var roundStartedUs = Long.MIN_VALUE / 2

    /** Something has changed that a request could gain by: the next round need not wait for the idle interval. */
    fun markChanged() {
        changedSinceRound = true
    }

    /** Takes a partition's offer; one for an earlier round is ignored. */
    fun addOffer(
        partition: String,
        offer: Offer,
        now: Long,
    ) = round?.addOffer(partition, offer.requestNumber, offer.slots, now, settings.betaUs)

    /** Ends and begins rounds as time passes; [waiting] gives the jobs with tasks to place, in the order of the queue. */
    fun tick(
        now: Long,
        waiting: () -> List<Job>,
    ) {
        val current = round
        if (current != null && (current.allAnswered(context.reachablePartitions(now)) || now >= current.deadlineUs)) endRound(current, now)
        val intervalUs = if (changedSinceRound) settings.minRoundIntervalUs else settings.idleRoundIntervalUs
        if (round == null && now - roundStartedUs >= intervalUs) beginRound(waiting, now)
    }

    /** Broadcasts requests for the first jobs of the queue. */
    private fun beginRound(
        waiting: () -> List<Job>,
        now: Long,
    ) {
        changedSinceRound = false
        roundStartedUs = now
        val unaccountedUse = context.unaccountedUse()
        val requests =
            planner.requests(waiting(), now) { spec, planned -> attempts.allowance(spec.team, spec.resources, unaccountedUse, planned) }
        if (requests.isEmpty()) return
        round = RequestRound(requests, now, settings.alphaUs)
        val frames = requests.map { it.request }
        assignment.partitions.forEach { outbox.send(it, now, requests = frames) }
    }

    /** Starts tasks on the roomiest of the held slots, and releases the rest. */
    private fun endRound(
        current: RequestRound,
        now: Long,
    ) {
        round = null
        val unaccountedUse = context.unaccountedUse()
        val starts = HashMap<String, ArrayList<StartOrder>>()
        val started = ArrayList<Attempt>()
        for (request in current.requests) {
            if (request.job.phase != JobPhase.OPEN) continue
            for (attempt in place(request, current, unaccountedUse, now)) {
                started += attempt
                starts.getOrPut(attempt.partition) { ArrayList() } +=
                    StartOrder(request.request.requestNumber, attempt.machine, attempt.index, attempt.number)
            }
        }
        val releases = current.requests.map { it.request.requestNumber }
        for (id in assignment.partitions) {
            val partitionStarts = starts[id].orEmpty()
            val chosen = partitionStarts.mapTo(HashSet()) { it.requestNumber }
            val seq = outbox.send(id, now, starts = partitionStarts, releases = releases.filter { it !in chosen })
            started.forEach { if (it.partition == id) it.seq = seq }
        }
        if (started.isNotEmpty()) changedSinceRound = true
    }

    /** Creates attempts on the roomiest of the slots that are held for a request. */
    private fun place(
        jobRequest: JobRequest,
        current: RequestRound,
        unaccountedUse: Resources,
        now: Long,
    ): List<Attempt> {
        val job = jobRequest.job
        val maxTasks = minOf(jobRequest.request.count, attempts.allowance(job.spec.team, job.spec.resources, unaccountedUse))
        val offers = current.offersFor(jobRequest.request.requestNumber).mapValues { (_, held) -> held.mapNotNull(::usableSlots) }
        val placed = ArrayList<Attempt>()
        for (slot in OfferSelection.selectRoomiest(offers, maxTasks, zones::zoneOf, zones.remainingTasksByZone(job, offers))) {
            val index = job.nextPendingTask()
            if (index < 0) break
            val attempt = Attempt(job, index, nextAttemptNumber(), slot.machine, slot.partition)
            attempt.partitionTerm = context.partition(slot.partition)!!.term
            // Until the frame with its start is sent, no frame of the partition tells anything of it.
            attempt.seq = Long.MAX_VALUE
            attempts.track(attempt)
            job.placedUs = now
            placed += attempt
        }
        return placed
    }

    private fun usableSlots(held: HeldSlots): HeldSlots? {
        val usable = context.usableSlots(held.machine, held.count)
        if (usable == held.count) return held
        return if (usable > 0) held.copy(count = usable) else null
    }

    /** Unique and rising over all leaders without a write: the term is the high part (invariant 7). */
    private fun nextAttemptNumber() = (term shl TERM_SHIFT) + ++attemptCounter

    private companion object {
        const val TERM_SHIFT = 32
    }
}
