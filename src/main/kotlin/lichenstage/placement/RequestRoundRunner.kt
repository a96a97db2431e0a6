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
    fun reachablePartitions(nowUs: Long): Set<String>
}

/**
 * Runs rounds of placement requests, one at a time: broadcasts requests, collects offers, starts tasks on the roomiest of them (worst
 * fit), and releases the rest.
 */
internal class RequestRoundRunner(
    private val term: Long,
    private val assignment: PartitionAssignment,
    private val settings: PlacementSettings,
    private val planner: RequestPlanner,
    private val zones: ZoneConstraints,
    private val attempts: RunningAttempts,
    private val outbox: PartitionOutbox,
    private val context: RoundContext,
) {
    private var currentRound: RequestRound? = null
    private var attemptCounter = 0L
    private var hasChangedSinceRound = true
    private var roundStartedAtUs = Long.MIN_VALUE / 2

    /** Something has changed that a request could gain by: the next round need not wait for the idle interval. */
    fun markChanged() {
        hasChangedSinceRound = true
    }

    /** Takes a partition's offer; one for an earlier round is ignored. */
    fun addOffer(
        partition: String,
        offer: Offer,
        nowUs: Long,
    ) = currentRound?.addOffer(partition, offer.requestNumber, offer.slots, nowUs, settings.betaUs)

    /** Ends and begins rounds as time passes; [waiting] gives the jobs with tasks to place, in the order of the queue. */
    fun tick(
        nowUs: Long,
        waiting: () -> List<Job>,
    ) {
        val openRound = currentRound
        if (openRound != null &&
            (openRound.hasOfferFromAll(context.reachablePartitions(nowUs)) || nowUs >= openRound.endsAtUs)
        ) {
            endRound(openRound, nowUs)
        }
        val intervalUs = if (hasChangedSinceRound) settings.minRoundIntervalUs else settings.idleRoundIntervalUs
        if (currentRound == null && nowUs - roundStartedAtUs >= intervalUs) beginRound(waiting, nowUs)
    }

    /** Broadcasts requests for the first jobs of the queue. */
    private fun beginRound(
        waiting: () -> List<Job>,
        nowUs: Long,
    ) {
        hasChangedSinceRound = false
        roundStartedAtUs = nowUs
        val unaccountedUse = context.unaccountedUse()
        val requests =
            planner.planRequests(
                waiting(),
                nowUs,
            ) { spec, planned -> attempts.allowedTaskCount(spec.team, spec.resources, unaccountedUse, planned) }
        if (requests.isEmpty()) return
        currentRound = RequestRound(requests, nowUs, settings.alphaUs)
        val frames = requests.map { it.request }
        assignment.partitions.forEach { outbox.send(it, nowUs, requests = frames) }
    }

    /** Starts tasks on the roomiest of the held slots, and releases the rest. */
    private fun endRound(
        endingRound: RequestRound,
        nowUs: Long,
    ) {
        currentRound = null
        val unaccountedUse = context.unaccountedUse()
        val startsByPartition = HashMap<String, ArrayList<StartOrder>>()
        val startedAttempts = ArrayList<Attempt>()
        for (request in endingRound.requests) {
            if (request.job.phase != JobPhase.OPEN) continue
            for (attempt in createAttempts(request, endingRound, unaccountedUse, nowUs)) {
                startedAttempts += attempt
                startsByPartition.getOrPut(attempt.partition) { ArrayList() } +=
                    StartOrder(request.request.requestNumber, attempt.machine, attempt.index, attempt.number)
            }
        }
        val allRequestNumbers = endingRound.requests.map { it.request.requestNumber }
        for (id in assignment.partitions) {
            val startsOfPartition = startsByPartition[id].orEmpty()
            val startedRequests = startsOfPartition.mapTo(HashSet()) { it.requestNumber }
            val seq = outbox.send(id, nowUs, starts = startsOfPartition, releases = allRequestNumbers.filter { it !in startedRequests })
            startedAttempts.forEach { if (it.partition == id) it.startSeq = seq }
        }
        if (startedAttempts.isNotEmpty()) hasChangedSinceRound = true
    }

    /** Creates attempts on the roomiest of the slots that are held for a request. */
    private fun createAttempts(
        jobRequest: JobRequest,
        endingRound: RequestRound,
        unaccountedUse: Resources,
        nowUs: Long,
    ): List<Attempt> {
        val job = jobRequest.job
        val maxTasks = minOf(jobRequest.request.count, attempts.allowedTaskCount(job.spec.team, job.spec.resources, unaccountedUse))
        val offers = endingRound.offersFor(jobRequest.request.requestNumber).mapValues { (_, held) -> held.mapNotNull(::usableSlots) }
        val createdAttempts = ArrayList<Attempt>()
        for (slot in OfferSelection.selectRoomiest(offers, maxTasks, zones::zoneOf, zones.remainingTasksByZone(job, offers))) {
            val index = job.nextPendingTask()
            if (index < 0) break
            val attempt = Attempt(job, index, nextAttemptNumber(), slot.machine, slot.partition)
            attempt.partitionTerm = context.partition(slot.partition)!!.term
            // Until the frame with its start is sent, no frame of the partition tells anything of it.
            attempt.startSeq = Long.MAX_VALUE
            attempts.track(attempt)
            job.lastPlacedAtUs = nowUs
            createdAttempts += attempt
        }
        return createdAttempts
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
