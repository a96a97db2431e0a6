package lichenstage.partition

import lichenstage.cluster.TaskPhase
import lichenstage.common.SECOND
import lichenstage.jobs.JobCompletions

/**
 * Stops the tasks of jobs that are over, whether or not the leader says so (invariants 10 and 15): it may be out of reach, or may not
 * have learned of a cancellation while this partition's answers keep renewing the workers' leases.
 */
internal class EndedJobStops(
    private val jobCompletions: JobCompletions,
    private val machines: MachineRegistry,
    private val orders: OrderQueue,
    private val fencing: OrderFencing,
    private val events: (OrderEvent) -> Unit,
) {
    private var lastCheckedUs = Long.MIN_VALUE / 2

    /** Looks at all attempts, twice a second at most. */
    fun check(now: Long) {
        if (now - lastCheckedUs < CHECK_INTERVAL_US) return
        lastCheckedUs = now
        val ended = HashMap<String, OrderEvent.JobEnded>()
        for (machine in machines.all) {
            for (attempt in machine.attempts.values) {
                fencing.noteOpenJob(attempt)
                if (isStopNeeded(attempt)) {
                    stop(machine, attempt)
                    ended.merge(attempt.job, jobEnded(attempt), OrderEvent.JobEnded::plus)
                }
            }
        }
        ended.values.forEach(events)
    }

    private fun isStopNeeded(attempt: WorkerAttempt) =
        !attempt.stopRequested && attempt.phase != TaskPhase.ENDED && jobCompletions.hasEnded(attempt.job, attempt.firstSeenUs)

    private fun stop(
        machine: Machine,
        attempt: WorkerAttempt,
    ) {
        attempt.stopRequested = true
        orders.add(machine)
        if (!attempt.isListed) fencing.addUnwantedStart(machine)
    }

    private fun jobEnded(attempt: WorkerAttempt) =
        if (attempt.isListed) OrderEvent.JobEnded(attempt.job, 1, 0) else OrderEvent.JobEnded(attempt.job, 0, 1)

    private companion object {
        const val CHECK_INTERVAL_US = SECOND / 2
    }
}
