package lichenstage.placement

import lichenstage.cluster.PlacementRequest
import lichenstage.common.SECOND
import lichenstage.model.JobSpec
import lichenstage.model.Resources

/** A placement request that is broadcast, and the job that it is for. */
data class JobRequest(
    val request: PlacementRequest,
    val job: Job,
)

/** Plans the requests of a round for the jobs in the order of the queue. */
internal class RequestPlanner(
    private val settings: PlacementSettings,
    private val objectives: ServiceObjectives,
    private val runTimes: RunTimeEstimates,
    private val zones: ZoneConstraints,
    private val fetchUs: (JobSpec) -> Long,
) {
    /** Room for so many tasks of a job is to be requested. */
    private class PlannedRequest(
        val job: Job,
        val tasks: Int,
    )

    private var requestCounter = 0L

    /**
     * Requests for the first of [jobs], within the quotas of their teams.
     *
     * @param allowedTasks how many tasks of a job its team may start beside the resources that are planned in this round
     */
    fun planRequests(
        jobs: List<Job>,
        nowUs: Long,
        allowedTasks: (JobSpec, Resources) -> Int,
    ): List<JobRequest> {
        val plannedByTeam = HashMap<String, Resources>()
        val selected = ArrayList<PlannedRequest>()
        for (job in jobs) {
            if (selected.size >= settings.maxJobsPerRound) break
            val spec = job.spec
            val plannedResources = plannedByTeam[spec.team] ?: RunningAttempts.NO_RESOURCES
            val count = minOf(job.pendingTasks.size, settings.maxTasksPerRequest, allowedTasks(spec, plannedResources))
            if (count <= 0) continue
            plannedByTeam[spec.team] = plannedResources - spec.resources * -count
            selected += PlannedRequest(job, count)
        }
        return groupConsecutive(selected) { isUrgent(it.job) }.flatMap { createImageRequestsFirst(it, nowUs) }
    }

    /**
     * Consecutive jobs of the same urgency request room on machines that have their image first, all of them, and any room with later
     * stamps: otherwise the first would take, with a fetch before it, the room that the next could use at once. A less urgent job does
     * not come before a more urgent one because its image is there.
     */
    private fun createImageRequestsFirst(
        planned: List<PlannedRequest>,
        nowUs: Long,
    ): List<JobRequest> {
        val firstRequests = planned.map { createRequest(it, imageOnly = benefitsFromImage(it.job)) }
        val jobsForAnyMachine = planned.filter { benefitsFromImage(it.job) && !shouldWaitForImage(it.job, nowUs) }
        return firstRequests + jobsForAnyMachine.map { createRequest(it, imageOnly = false) }
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
        imageOnly: Boolean,
    ): JobRequest {
        val job = planned.job
        val spec = job.spec
        val zone = zones.requestedZone(job)
        val request =
            PlacementRequest(++requestCounter, spec.id, spec.requirements, planned.tasks, spec.allowedTypes, zone, spec.spot, imageOnly)
        return JobRequest(request, job)
    }

    private fun isUrgent(job: Job) = objectives.hasStartObjectiveWithin(job.spec.jobClass, URGENT_START_WITHIN_US)

    /** Room is not used while an image is fetched for it: worth avoiding where the fetch isn't short beside the run. */
    private fun benefitsFromImage(job: Job) = fetchUs(job.spec) * SHORT_FETCH_DIVISOR > runTimes.expectedRunTimeUs(job.spec)

    /**
     * A job that is not urgent waits a moment for room on machines that have its image: where room becomes free all the time, some of it
     * does there. Then it takes any room once, and so its image gets to more machines.
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

        /** A fetch is short where it takes less than one part in so many of the run. */
        const val SHORT_FETCH_DIVISOR = 20

        /** A job waits for one part in so many of its fetch. */
        const val IMAGE_WAIT_DIVISOR = 4
    }
}
