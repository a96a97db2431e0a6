package lichenstage.placement

import lichenstage.cluster.HeldSlots
import lichenstage.cluster.Offer
import lichenstage.cluster.StartCommand
import lichenstage.model.PartitionAssignment
import lichenstage.model.Resources
import org.slf4j.LoggerFactory

/** The part of the leader's state that a round of requests depends on. */
internal interface RoundContext {
    /** Returns the state of a partition, or null if no frame from it has been received. */
    fun partition(id: String): PartitionState?

    /** Returns how many of the [held] slots on a machine may be used. */
    fun usableSlots(
        machine: String,
        held: Int,
    ): Int

    /** Returns the machines on which no task of a job is placed for now, because tasks of the job have failed there. */
    fun avoidedMachines(
        job: Job,
        nowUs: Long,
    ): Set<String>

    /** Returns the resources in use that can't be attributed to a team. They count against the limits of every team. */
    fun unaccountedUse(): Resources

    /** Returns the partitions that have recently sent a frame. A round waits only for their offers. */
    fun reachablePartitions(nowUs: Long): Set<String>
}

/**
 * The runner of rounds of placement requests, one round at a time. A round broadcasts requests, collects offers, starts tasks on the
 * roomiest offers (worst fit), and releases the other offers.
 */
internal class RequestRoundRunner(
    private val term: Long,
    private val assignment: PartitionAssignment,
    private val settings: PlacementSettings,
    private val planner: RequestPlanner,
    private val zones: ZoneConstraints,
    private val runningAttempts: RunningAttempts,
    private val outbox: PartitionOutbox,
    private val context: RoundContext,
) {
    private val log = LoggerFactory.getLogger("lichenstage.placement")
    private var currentRound: RequestRound? = null

    /** The number of waiting jobs at the start of the current round, of which the round requests capacity for the first ones only. */
    private var waitingJobCount = 0
    private var attemptCounter = 0L
    private var hasChangedSinceRound = true
    private var roundStartedAtUs = Long.MIN_VALUE / 2

    /** Records a change from which a request could benefit. The next round then does not wait for the idle interval. */
    fun markChanged() {
        hasChangedSinceRound = true
    }

    /** Adds a partition's offer to the current round. Offers for earlier rounds are ignored. */
    fun addOffer(
        partition: String,
        offer: Offer,
        nowUs: Long,
    ) = currentRound?.addOffer(partition, offer.requestNumber, offer.slots, nowUs, settings.betaUs)

    /**
     * Ends the current round and begins the next one if they are due.
     *
     * @param waitingJobs returns the jobs with tasks to place, in queue order
     */
    fun tick(
        nowUs: Long,
        waitingJobs: () -> List<Job>,
    ) {
        val round = currentRound
        if (round != null && (round.hasOfferFromAll(context.reachablePartitions(nowUs)) || nowUs >= round.endsAtUs)) endRound(round, nowUs)
        if (currentRound == null && nowUs - roundStartedAtUs >= roundIntervalUs()) beginRound(waitingJobs, nowUs)
    }

    private fun roundIntervalUs() =
        when {
            hasChangedSinceRound -> settings.minRoundIntervalUs
            planner.hasLeftOutKinds -> settings.leftOutRoundIntervalUs
            else -> settings.idleRoundIntervalUs
        }

    /** Broadcasts requests for the first jobs of the queue. */
    private fun beginRound(
        waitingJobs: () -> List<Job>,
        nowUs: Long,
    ) {
        hasChangedSinceRound = false
        roundStartedAtUs = nowUs
        val unaccountedUse = context.unaccountedUse()
        val jobs = waitingJobs()
        waitingJobCount = jobs.size
        jobs.forEach { it.isAvoidingMachines = context.avoidedMachines(it, nowUs).isNotEmpty() }
        val requests =
            planner.plan(jobs, nowUs) { spec, planned ->
                runningAttempts.allowedTaskCount(spec.team, spec.resources, unaccountedUse, planned)
            }
        if (requests.isEmpty()) return
        val avoidedMachines = findAvoidedMachines(requests, nowUs)
        currentRound = RequestRound(requests, nowUs, settings.alphaUs, avoidedMachines)
        val placementRequests = requests.map { it.request }
        assignment.partitions.forEach { outbox.send(it, nowUs, requests = placementRequests, avoidedMachines = avoidedMachines) }
    }

    /** Returns the machines that the requested jobs avoid, by job id. Jobs that avoid none are left out. */
    private fun findAvoidedMachines(
        requests: List<JobRequest>,
        nowUs: Long,
    ): Map<String, Set<String>> =
        requests
            .map { it.job }
            .filter { it.isAvoidingMachines }
            .associate { it.spec.id to context.avoidedMachines(it, nowUs) }

    /** Starts tasks on the roomiest of the held slots, and releases the other slots. */
    private fun endRound(
        endingRound: RequestRound,
        nowUs: Long,
    ) {
        currentRound = null
        val unaccountedUse = context.unaccountedUse()
        val startsByPartition = HashMap<String, ArrayList<StartCommand>>()
        val startedAttempts = ArrayList<Attempt>()
        for (request in endingRound.requests) {
            if (request.job.phase != JobPhase.OPEN) continue
            for (attempt in createAttempts(request, endingRound, unaccountedUse, nowUs)) {
                startedAttempts += attempt
                startsByPartition.getOrPut(attempt.partition) { ArrayList() } +=
                    StartCommand(request.request.requestNumber, attempt.machine, attempt.index, attempt.number)
            }
        }
        val allRequestNumbers = endingRound.requests.map { it.request.requestNumber }
        for (id in assignment.partitions) {
            val startsOfPartition = startsByPartition[id].orEmpty()
            val startedRequests = startsOfPartition.mapTo(HashSet()) { it.requestNumber }
            val seq = outbox.send(id, nowUs, starts = startsOfPartition, releases = allRequestNumbers.filter { it !in startedRequests })
            startedAttempts.forEach { if (it.partition == id) it.startSeq = seq }
        }
        planner.onRoundEnded(
            endingRound.requests.map { it.job }.filterTo(HashSet()) { it.phase == JobPhase.OPEN },
            startedAttempts.mapTo(HashSet()) { it.job },
            endingRound::hasOfferFor,
        )
        logRound(endingRound, startedAttempts)
        if (startedAttempts.isNotEmpty()) hasChangedSinceRound = true
    }

    /** Logs which jobs a round has requested capacity for, and how many of them got any. */
    private fun logRound(
        endedRound: RequestRound,
        startedAttempts: List<Attempt>,
    ) {
        if (!log.isDebugEnabled) return
        val jobs = endedRound.requests.map { it.job }.distinct()
        log.debug(
            "Request round ended waitingJobs={} requestedJobs={} placedJobs={} placedTasks={} firstJob={} lastJob={}",
            waitingJobCount,
            jobs.size,
            startedAttempts.distinctBy { it.job }.size,
            startedAttempts.size,
            jobs.first().spec.id,
            jobs.last().spec.id,
        )
    }

    /** Creates attempts on the roomiest of the slots that are held for a request. */
    private fun createAttempts(
        jobRequest: JobRequest,
        endingRound: RequestRound,
        unaccountedUse: Resources,
        nowUs: Long,
    ): List<Attempt> {
        val job = jobRequest.job
        val maxTasks = minOf(jobRequest.request.count, runningAttempts.allowedTaskCount(job.spec.team, job.spec.resources, unaccountedUse))
        // A partition whose owner has an earlier version offers these machines too.
        val avoidedMachines = endingRound.avoidedMachines[job.spec.id].orEmpty()
        val offers =
            endingRound.offersFor(jobRequest.request.requestNumber).mapValues { (_, held) ->
                held.filter { it.machine !in avoidedMachines }.mapNotNull(::usableSlots)
            }
        val createdAttempts = ArrayList<Attempt>()
        for (slot in OfferSelection.selectRoomiest(offers, maxTasks, zones::zoneOf, zones.remainingTasksByZone(job, offers))) {
            val index = job.nextPendingTask()
            if (index < 0) break
            val attempt = Attempt(job, index, nextAttemptNumber(), slot.machine, slot.partition)
            attempt.partitionTerm = context.partition(slot.partition)!!.term
            // Until the frame with its start is sent, no frame from the partition can prove that the attempt is absent.
            attempt.startSeq = Long.MAX_VALUE
            runningAttempts.track(attempt)
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

    /**
     * Returns an attempt number that is unique and increases over all leaders. The term is its high part, so no write is needed
     * (invariant 7).
     */
    private fun nextAttemptNumber() = (term shl TERM_SHIFT) + ++attemptCounter

    private companion object {
        const val TERM_SHIFT = 32
    }
}
