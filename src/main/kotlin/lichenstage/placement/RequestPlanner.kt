package lichenstage.placement

import lichenstage.cluster.PlacementRequest
import lichenstage.common.SECOND
import lichenstage.model.JobSpec
import lichenstage.model.Resources

/** A placement request that is broadcast to the partitions, with its job. */
data class JobRequest(
    val request: PlacementRequest,
    val job: Job,
)

/** The planner of the placement requests of one round, for jobs in queue order. */
internal class RequestPlanner(
    private val settings: PlacementSettings,
    private val serviceObjectives: ServiceObjectives,
    private val runTimes: RunTimeEstimates,
    private val zones: ZoneConstraints,
    private val fetchUs: (JobSpec) -> Long,
) {
    private val unplacedKinds = UnplacedKinds()
    private val jobSelector = RoundJobSelector(settings.maxJobsPerRound, unplacedKinds)
    private var requestCounter = 0L

    /** Whether the last plan has left out a kind of request, so that the next round should follow soon. */
    val hasLeftOutKinds get() = jobSelector.hasLeftOutKinds

    /**
     * Returns the placement requests for some of [jobs], which [RoundJobSelector] selects, within the limits of their teams.
     *
     * Requests that will probably get nothing do not count against the limit of their team, because otherwise they would keep other jobs of
     * the team from requesting. A team still can't exceed its limit, which is checked again for each start.
     *
     * @param allowedTasks returns how many tasks of a job its team may start in addition to the resources already planned for the team in
     *   this round
     */
    fun plan(
        jobs: List<Job>,
        nowUs: Long,
        allowedTasks: (JobSpec, Resources) -> Int,
    ): List<JobRequest> {
        val plannedByTeam = HashMap<String, Resources>()

        fun planned(team: String) = plannedByTeam[team] ?: RunningAttempts.NO_RESOURCES

        fun taskCount(job: Job) = minOf(job.pendingTasks.size, settings.maxTasksPerRequest, allowedTasks(job.spec, planned(job.spec.team)))
        val plannedRequests =
            jobSelector.select(jobs, ::taskCount) {
                val spec = it.job.spec
                if (it.job.requestKind !in unplacedKinds) plannedByTeam[spec.team] = planned(spec.team) - spec.resources * -it.taskCount
            }
        return groupConsecutive(plannedRequests) { isUrgent(it.job) }.flatMap { createImageRequestsFirst(it, nowUs) }
    }

    /** Learns from the end of a round which kinds of requests get capacity. See [UnplacedKinds.onRoundEnded]. */
    fun onRoundEnded(
        requestedJobs: Set<Job>,
        placedJobs: Set<Job>,
        hadOffers: (Job) -> Boolean,
    ) = unplacedKinds.onRoundEnded(requestedJobs, placedJobs, hadOffers)

    /**
     * Creates the requests for consecutive jobs of the same urgency, in two passes. In the first pass, each job requests machines that
     * have its image, or any machine if its fetch is short. In the second pass, with higher request numbers, the jobs of the first kind
     * request any machine, unless they should still wait. With a single pass, the first job could take a machine that has the image of
     * the next job, and occupy this machine while it fetches its own image.
     *
     * Only jobs of the same urgency are treated together, so that a less urgent job does not overtake a more urgent one because its image
     * is present on a machine.
     */
    private fun createImageRequestsFirst(
        planned: List<PlannedRequest>,
        nowUs: Long,
    ): List<JobRequest> {
        val firstRequests = planned.map { createRequest(it, isImageRequired = benefitsFromImage(it.job)) }
        val jobsForAnyMachine = planned.filter { benefitsFromImage(it.job) && !shouldWaitForImage(it.job, nowUs) }
        return firstRequests + jobsForAnyMachine.map { createRequest(it, isImageRequired = false) }
    }

    /** Splits a list into groups of consecutive items of the same kind. */
    private fun <T> groupConsecutive(
        list: List<T>,
        kind: (T) -> Boolean,
    ): List<List<T>> {
        val result = ArrayList<ArrayList<T>>()
        for (item in list) {
            if (result.isEmpty() || kind(result.last().last()) != kind(item)) result += ArrayList<T>()
            result.last() += item
        }
        return result
    }

    private fun createRequest(
        planned: PlannedRequest,
        isImageRequired: Boolean,
    ): JobRequest {
        val job = planned.job
        val spec = job.spec
        val zone = zones.requestedZone(job)
        val request =
            PlacementRequest(
                ++requestCounter,
                spec.id,
                spec.requirements,
                planned.taskCount,
                spec.allowedTypes,
                zone,
                spec.allowsSpot,
                isImageRequired,
            )
        return JobRequest(request, job)
    }

    private fun isUrgent(job: Job) = serviceObjectives.hasStartObjectiveWithin(job.spec.jobClass, URGENT_START_WITHIN_US)

    /**
     * Returns whether the job should prefer machines that have its image. Capacity is idle during a fetch, so the preference pays off
     * unless the fetch is short compared to the run.
     */
    private fun benefitsFromImage(job: Job) = fetchUs(job.spec) * SHORT_FETCH_DIVISOR > runTimes.expectedRunTimeUs(job.spec)

    /**
     * Returns whether the job should wait for a machine that has its image. Only jobs that are not urgent wait, and only for a short
     * time, which is usually enough for capacity on such a machine to become free. After the wait the job requests any machine, so its
     * image is fetched to more machines. Each placement of a task begins a new wait.
     */
    private fun shouldWaitForImage(
        job: Job,
        nowUs: Long,
    ): Boolean {
        if (isUrgent(job)) return false
        val maxWaitUs = (fetchUs(job.spec) / IMAGE_WAIT_DIVISOR).coerceAtMost(MAX_IMAGE_WAIT_US)
        return nowUs - maxOf(job.readyAtUs, job.lastPlacedAtUs) < maxWaitUs
    }

    private companion object {
        const val URGENT_START_WITHIN_US = 8 * SECOND
        const val MAX_IMAGE_WAIT_US = 3 * SECOND

        /** A fetch is short if it takes less than the run time divided by this number. */
        const val SHORT_FETCH_DIVISOR = 20

        /** A job waits for its fetch time divided by this number, at most [MAX_IMAGE_WAIT_US]. */
        const val IMAGE_WAIT_DIVISOR = 4
    }
}
