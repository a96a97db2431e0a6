package lichenstage.placement

import lichenstage.cluster.MachineState
import lichenstage.cluster.SaveOrder
import lichenstage.cluster.TaskPhase
import lichenstage.common.SECOND

/**
 * Decides which running tasks are preempted with time to save a checkpoint, because their machine goes away.
 *
 * Machines go away for two reasons. After a spot notice a task runs on for as long as it can still save, since that time is paid for
 * in any case. A machine that the fleet drains is terminated once it is empty: where only tasks that can save are left on it, and
 * they would run for long, they are moved. A task that is expected to end by itself before is left alone, and so is one that could
 * not finish saving.
 */
class CheckpointPreemption(
    private val runTimes: RunTimeEstimates,
) {
    /** When machines with a spot notice are reclaimed at the latest, by name. */
    private val reclaimDeadlineUs = HashMap<String, Long>()

    /** When an attempt was last ordered to stop, by its number. */
    private val orderedUs = HashMap<Long, Long>()

    /** Attempts that drains have stopped, whether or not they can save, by number. */
    private val requested = LinkedHashMap<Long, Attempt>()

    /** Machines that have a spot notice, or on which an attempt is to be stopped for a drain. */
    val affectedMachines: Set<String>
        get() = if (requested.isEmpty()) reclaimDeadlineUs.keys else reclaimDeadlineUs.keys + requested.values.map { it.machine }

    /** Has attempts stopped for a drain, with time to save where they can. */
    fun requestStop(attempts: Collection<Attempt>) = attempts.forEach { requested[it.number] = it }

    /** Takes a machine as its partition shows it at [now]. Its notice may be older than the frame, never younger. */
    fun machineUpdated(
        machine: MachineState,
        now: Long,
    ) {
        val leftUs = machine.timeUntilReclaimUs ?: return
        reclaimDeadlineUs.merge(machine.name, now + leftUs, ::minOf)
    }

    /** The machine is proven gone. */
    fun machineTerminated(machine: String) {
        reclaimDeadlineUs.remove(machine)
    }

    /**
     * The orders to send now to a machine that goes away, with the [attempts] that may be running there. Where it [isDrained] by an
     * operator, only requested attempts are stopped, since that is within the disruption budget of their team.
     */
    fun saveOrders(
        machine: String,
        attempts: Collection<Attempt>,
        isDrained: Boolean,
        now: Long,
    ): List<SaveOrder> {
        val reclaimDeadlineUs = reclaimDeadlineUs[machine]
        val preempted =
            when {
                reclaimDeadlineUs != null -> beforeReclaim(attempts, reclaimDeadlineUs - now, now)
                isDrained -> emptyList()
                else -> forScaleIn(attempts, now)
            }
        val requestedHere = attempts.filter { it.number in requested && it.phase == TaskPhase.RUNNING }
        return (preempted + requestedHere)
            .distinct()
            .filter {
                markOrderedIfDue(it, now)
            }.map { SaveOrder(machine, it.task, it.number, graceUs(it)) }
    }

    private fun beforeReclaim(
        attempts: Collection<Attempt>,
        leftUs: Long,
        now: Long,
    ) = attempts.filter {
        val checkpointSaveUs = it.job.spec.checkpointSaveUs
        canSave(it) && leftUs in checkpointSaveUs + MIN_MARGIN_US..checkpointSaveUs + NOTICE_MARGIN_US &&
            remainingUs(it, now) + MIN_MARGIN_US > leftUs
    }

    private fun forScaleIn(
        attempts: Collection<Attempt>,
        now: Long,
    ): List<Attempt> {
        if (attempts.isEmpty() || attempts.any { !isWorthMoving(it, now) }) return emptyList()
        return attempts.toList()
    }

    private fun isWorthMoving(
        attempt: Attempt,
        now: Long,
    ) = canSave(attempt) && attempt.runningUs > 0 && now - attempt.runningUs >= MIN_RUN_US &&
        remainingUs(attempt, now) > attempt.job.spec.checkpointSaveUs + MOVE_COST_US

    private fun canSave(attempt: Attempt) = savesCheckpoints(attempt) && attempt.phase == TaskPhase.RUNNING

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

    private fun savesCheckpoints(attempt: Attempt) = attempt.job.spec.checkpointIntervalUs > 0

    /** How long the worker waits for the task to save before it kills it. */
    private fun graceUs(attempt: Attempt) = if (savesCheckpoints(attempt)) attempt.job.spec.checkpointSaveUs + MIN_MARGIN_US else 0

    /** Frames get lost, so that an order is repeated while the task is still shown as running. Notes the order as sent where it is due. */
    private fun markOrderedIfDue(
        attempt: Attempt,
        now: Long,
    ): Boolean {
        val last = orderedUs[attempt.number]
        if (last != null && now - last < REPEAT_INTERVAL_US) return false
        orderedUs[attempt.number] = now
        if (attempt.saveOrderedUs == 0L && savesCheckpoints(attempt)) attempt.saveOrderedUs = now
        return true
    }

    /** The attempt has ended. */
    fun attemptEnded(attempt: Attempt) {
        orderedUs.remove(attempt.number)
        requested.remove(attempt.number)
    }

    private companion object {
        /** The least time, beside the saving, with which saving is expected to succeed. */
        const val MIN_MARGIN_US = SECOND

        /** The time left beside the saving at which a task is stopped: two repeats of a lost order fit in. */
        const val NOTICE_MARGIN_US = 6 * SECOND

        /** A start that is stopped sooner does not count for its job's objectives. */
        const val MIN_RUN_US = 35 * SECOND

        /** The time that a task loses by starting elsewhere: a round of requests, an image fetch. */
        const val MOVE_COST_US = 15 * SECOND

        /** A task that has run for longer than expected goes on for one part in so many of its progress. */
        const val OVERRUN_SHARE = 4
        const val REPEAT_INTERVAL_US = 2 * SECOND
    }
}
