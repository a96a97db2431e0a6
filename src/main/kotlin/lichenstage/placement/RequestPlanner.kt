package lichenstage.placement

import lichenstage.cluster.PlacementRequest
import lichenstage.common.SECOND
import lichenstage.model.JobSpec
import lichenstage.model.Resources

/** A request that is broadcast, and the job that it is for. */
data class JobRequest(
    val request: PlacementRequest,
    val job: Job,
)

/** Makes the requests of a round from the jobs in the order of the queue. */
internal class RequestPlanner(
    private val settings: PlacementSettings,
    private val objectives: ServiceObjectives,
    private val runTimes: RunTimeEstimates,
    private val zones: ZoneConstraints,
    private val fetchUs: (JobSpec) -> Long,
) {
    private class Demand(
        val job: Job,
        val tasks: Int,
    )

    private var stampCounter = 0L

    /** Requests for the first of [jobs] that their teams' limits allow; [allowance] says how many tasks beside those that are planned. */
    fun requests(
        jobs: List<Job>,
        now: Long,
        allowance: (JobSpec, Resources) -> Int,
    ): List<JobRequest> {
        val planned = HashMap<String, Resources>()
        val first = ArrayList<Demand>()
        for (job in jobs) {
            if (first.size >= settings.jobsPerRound) break
            val spec = job.spec
            val before = planned[spec.team] ?: RunningAttempts.NONE
            val count = minOf(job.pending.size, settings.tasksPerRequest, allowance(spec, before))
            if (count <= 0) continue
            planned[spec.team] = before - spec.resources * -count
            first += Demand(job, count)
        }
        return runs(first) { hurried(it.job) }.flatMap { imagesFirst(it, now) }
    }

    /**
     * Jobs that follow each other and are in the same hurry ask, where they gain by it, for room on machines with their image
     * first, all of them, and for any room with later stamps: otherwise the first would take, with a fetch before it, the room
     * that the next could use at once. A job in less of a hurry does not come before one in more by having its image there.
     */
    private fun imagesFirst(
        demands: List<Demand>,
        now: Long,
    ): List<JobRequest> {
        val atOnce = demands.map { request(it, imageOnly = gainsByImage(it.job)) }
        val after = demands.filter { gainsByImage(it.job) && !patient(it.job, now) }
        return atOnce + after.map { request(it, imageOnly = false) }
    }

    /** Splits a list into runs of neighbours that are alike. */
    private fun <T> runs(
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

    private fun request(
        demand: Demand,
        imageOnly: Boolean,
    ): JobRequest {
        val job = demand.job
        val spec = job.spec
        val zone = zones.requestedZone(job)
        val request =
            PlacementRequest(++stampCounter, spec.id, spec.requirements, demand.tasks, spec.allowedTypes, zone, spec.spot, imageOnly)
        return JobRequest(request, job)
    }

    private fun hurried(job: Job) = objectives.startsWithin(job.spec.jobClass, HURRY_US)

    /** A fetch keeps a machine's room from being used at all: worth avoiding where it isn't short beside the run. */
    private fun gainsByImage(job: Job) = fetchUs(job.spec) * SHORT_FETCH_SHARE > runTimes.expectedUs(job.spec)

    /**
     * A job that has time waits a moment for room on machines that have its image; where room comes up all the time, some of it
     * does there. If none does, it takes what there is once, and so the image gets to more machines.
     */
    private fun patient(
        job: Job,
        now: Long,
    ): Boolean {
        if (hurried(job)) return false
        val patienceUs = (fetchUs(job.spec) / PATIENCE_SHARE).coerceAtMost(MOST_PATIENCE_US)
        return now - maxOf(job.readyUs, job.placedUs) < patienceUs
    }

    private companion object {
        const val HURRY_US = 8 * SECOND
        const val MOST_PATIENCE_US = 3 * SECOND

        /** A fetch is short where it takes less than one part in so many of the run. */
        const val SHORT_FETCH_SHARE = 20

        /** A job waits for one part in so many of its fetch. */
        const val PATIENCE_SHARE = 4
    }
}
