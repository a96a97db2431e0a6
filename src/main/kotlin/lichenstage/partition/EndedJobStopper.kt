package lichenstage.partition

import lichenstage.cluster.TaskPhase
import lichenstage.common.SECOND
import lichenstage.jobs.JobCompletions

/**
 * Stops the tasks of ended jobs without waiting for the leader (invariants 10 and 15). The leader may be unreachable, or may not know of a
 * cancellation yet. In the meantime this partition's replies to heartbeats keep renewing the workers' leases.
 */
internal class EndedJobStopper(
    private val jobCompletions: JobCompletions,
    private val machines: MachineRegistry,
    private val orderQueue: OrderQueue,
    private val orderFencing: OrderFencing,
    private val reportEvent: (OrderEvent) -> Unit,
) {
    private var lastCheckAtUs = Long.MIN_VALUE / 2

    /** Checks all attempts and stops those of ended jobs. Does nothing if the last check is less than half a second ago. */
    fun stopTasksOfEndedJobs(nowUs: Long) {
        if (nowUs - lastCheckAtUs < CHECK_INTERVAL_US) return
        lastCheckAtUs = nowUs
        val eventsByJob = HashMap<String, OrderEvent.JobEnded>()
        for (machine in machines.all) {
            for (attempt in machine.attempts.values) {
                orderFencing.updateJobConfirmedOpenTime(attempt)
                if (needsStop(attempt)) {
                    stop(machine, attempt)
                    eventsByJob.merge(attempt.job, jobEndedEvent(attempt), OrderEvent.JobEnded::plus)
                }
            }
        }
        eventsByJob.values.forEach(reportEvent)
    }

    private fun needsStop(attempt: WorkerAttempt) =
        !attempt.isStopRequested && attempt.phase != TaskPhase.ENDED && jobCompletions.hasEnded(attempt.job, attempt.firstSeenAtUs)

    private fun stop(
        machine: Machine,
        attempt: WorkerAttempt,
    ) {
        attempt.isStopRequested = true
        orderQueue.add(machine)
        if (!attempt.isListed) orderFencing.addUnwantedStart(machine)
    }

    private fun jobEndedEvent(attempt: WorkerAttempt) =
        if (attempt.isListed) OrderEvent.JobEnded(attempt.job, 1, 0) else OrderEvent.JobEnded(attempt.job, 0, 1)

    private companion object {
        const val CHECK_INTERVAL_US = SECOND / 2
    }
}
