package lichenstage.placement

import lichenstage.cluster.MachineState
import lichenstage.cluster.SaveOrder
import lichenstage.cluster.TaskPhase
import lichenstage.common.SECOND

/**
 * Decides which running tasks are stopped with time to save their progress, because their machine goes away.
 *
 * Two things take a machine away. After a spot notice a task runs on for as long as it can still save, since that time is paid for
 * in any case. A machine that is being drained is given back once it is empty: where only tasks that can save are left on it, and
 * they would run for long, they are moved. A task that is expected to end by itself before is left alone, and so is one that could
 * not finish saving.
 */
class CheckpointPreemption(
    private val runTimes: RunTimeEstimates,
) {
    /** When machines with a notice will be taken, at the latest. */
    private val reclaimDeadlineUs = HashMap<String, Long>()
    private val sentUs = HashMap<Long, Long>()

    /** Attempts that are to be stopped whether or not they can save, by number. */
    private val requested = LinkedHashMap<Long, Attempt>()

    /** Machines that have a notice, or on which something is to be stopped. */
    val affectedMachines: Set<String> get() =
        if (requested.isEmpty()) {
            reclaimDeadlineUs.keys
        } else {
            reclaimDeadlineUs.keys +
                requested.values.map { it.machine }
        }

    /** These are to be stopped, with time to save where they can. */
    fun requestStop(attempts: Collection<Attempt>) = attempts.forEach { requested[it.number] = it }

    /** A machine as its partition shows it at [now]. The notice may be older than the frame, never younger. */
    fun machineUpdated(
        view: MachineState,
        now: Long,
    ) {
        val leftUs = view.recallUs ?: return
        reclaimDeadlineUs.merge(view.name, now + leftUs, ::minOf)
    }

    /** The machine is gone. */
    fun machineTerminated(machine: String) {
        reclaimDeadlineUs.remove(machine)
    }

    /**
     * What is to be ordered now for a machine that goes away, with the [attempts] that may be running there. Where it [isDrained] by an
     * operator, only what was requested is stopped, since that is within the budget of its team.
     */
    fun saveOrders(
        machine: String,
        attempts: Collection<Attempt>,
        isDrained: Boolean,
        now: Long,
    ): List<SaveOrder> {
        val reclaimDeadlineUs = reclaimDeadlineUs[machine]
        val stopped =
            when {
                reclaimDeadlineUs != null -> beforeNotice(attempts, reclaimDeadlineUs - now, now)
                isDrained -> emptyList()
                else -> whileDraining(attempts, now)
            }
        val asked = attempts.filter { it.number in requested && it.phase == TaskPhase.RUNNING }
        return (stopped + asked).distinct().filter { isDue(it, now) }.map { SaveOrder(machine, it.task, it.number, leewayUs(it)) }
    }

    private fun beforeNotice(
        attempts: Collection<Attempt>,
        leftUs: Long,
        now: Long,
    ) = attempts.filter {
        val checkpointSaveUs = it.job.spec.checkpointSaveUs
        canSave(it) && leftUs in checkpointSaveUs + LEAST_MARGIN_US..checkpointSaveUs + NOTICE_MARGIN_US &&
            remainingUs(it, now) + LEAST_MARGIN_US > leftUs
    }

    private fun whileDraining(
        attempts: Collection<Attempt>,
        now: Long,
    ): List<Attempt> {
        if (attempts.isEmpty() || attempts.any { !worthMoving(it, now) }) return emptyList()
        return attempts.toList()
    }

    private fun worthMoving(
        attempt: Attempt,
        now: Long,
    ) = canSave(attempt) && attempt.runningUs > 0 && now - attempt.runningUs >= LEAST_RUN_US &&
        remainingUs(attempt, now) > attempt.job.spec.checkpointSaveUs + MOVE_COST_US

    private fun canSave(attempt: Attempt) = attempt.job.spec.checkpointIntervalUs > 0 && attempt.phase == TaskPhase.RUNNING

    /**
     * How long the attempt is expected to go on. Estimates are often wrong by half: a task that has run for longer than expected goes on
     * for a good part of that.
     */
    fun remainingUs(
        attempt: Attempt,
        now: Long,
    ): Long {
        val progressUs = attempt.progressUs(now)
        return maxOf(runTimes.expectedUs(attempt.job.spec) - progressUs, progressUs / OVERRUN_SHARE)
    }

    private fun leewayUs(attempt: Attempt) =
        if (attempt.job.spec.checkpointIntervalUs >
            0
        ) {
            attempt.job.spec.checkpointSaveUs + LEAST_MARGIN_US
        } else {
            0
        }

    /** Frames get lost, so an order is repeated while the task is still seen running. */
    private fun isDue(
        attempt: Attempt,
        now: Long,
    ): Boolean {
        val last = sentUs[attempt.number]
        if (last != null && now - last < REPEAT_US) return false
        sentUs[attempt.number] = now
        if (attempt.saveOrderedUs == 0L && attempt.job.spec.checkpointIntervalUs > 0) attempt.saveOrderedUs = now
        return true
    }

    /** The attempt is over. */
    fun attemptEnded(attempt: Attempt) {
        sentUs.remove(attempt.number)
        requested.remove(attempt.number)
    }

    private companion object {
        /** Beside the time to save: the least with which saving is expected to succeed. */
        const val LEAST_MARGIN_US = SECOND

        /** The time left beside the saving at which a task is stopped: two repeats of a lost order fit in. */
        const val NOTICE_MARGIN_US = 6 * SECOND

        /** A start that is stopped sooner does not count for its job's aims. */
        const val LEAST_RUN_US = 35 * SECOND

        /** What a task loses by starting anew elsewhere: a request, an image. */
        const val MOVE_COST_US = 15 * SECOND
        const val OVERRUN_SHARE = 4
        const val REPEAT_US = 2 * SECOND
    }
}
