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
    private val lastSentAtUs = HashMap<Long, Long>()

    /** Attempts that drains have stopped, whether or not they can save, by number. */
    private val requestedStops = LinkedHashMap<Long, Attempt>()

    /** Machines that have a spot notice, or on which an attempt is to be stopped for a drain. */
    val affectedMachines: Set<String>
        get() = if (requestedStops.isEmpty()) reclaimDeadlineUs.keys else reclaimDeadlineUs.keys + requestedStops.values.map { it.machine }

    /** Has attempts stopped for a drain, with time to save where they can. */
    fun requestStop(attempts: Collection<Attempt>) = attempts.forEach { requestedStops[it.number] = it }

    /** Takes a machine as its partition shows it at [nowUs]. Its notice may be older than the frame, never younger. */
    fun onMachineUpdate(
        machine: MachineState,
        nowUs: Long,
    ) {
        val leftUs = machine.timeUntilReclaimUs ?: return
        reclaimDeadlineUs.merge(machine.name, nowUs + leftUs, ::minOf)
    }

    /** The machine is proven gone. */
    fun onMachineTerminated(machine: String) {
        reclaimDeadlineUs.remove(machine)
    }

    /**
     * The orders to send now to a machine that goes away, with the [attempts] that may be running there. Where it [isDrained] by an
     * operator, only requested attempts are stopped, since that is within the disruption budget of their team.
     */
    fun saveCommands(
        machine: String,
        attempts: Collection<Attempt>,
        isDrained: Boolean,
        nowUs: Long,
    ): List<SaveOrder> {
        val reclaimDeadlineUs = reclaimDeadlineUs[machine]
        val preempted =
            when {
                reclaimDeadlineUs != null -> selectBeforeReclaim(attempts, reclaimDeadlineUs - nowUs, nowUs)
                isDrained -> emptyList()
                else -> selectForScaleIn(attempts, nowUs)
            }
        val requestedOnMachine = attempts.filter { it.number in requestedStops && it.phase == TaskPhase.RUNNING }
        return (preempted + requestedOnMachine)
            .distinct()
            .filter {
                markSentIfDue(it, nowUs)
            }.map { SaveOrder(machine, it.task, it.number, graceUs(it)) }
    }

    private fun selectBeforeReclaim(
        attempts: Collection<Attempt>,
        leftUs: Long,
        nowUs: Long,
    ) = attempts.filter {
        val checkpointSaveUs = it.job.spec.checkpointSaveUs
        canSave(it) && leftUs in checkpointSaveUs + MIN_MARGIN_US..checkpointSaveUs + MAX_MARGIN_US &&
            remainingUs(it, nowUs) + MIN_MARGIN_US > leftUs
    }

    private fun selectForScaleIn(
        attempts: Collection<Attempt>,
        nowUs: Long,
    ): List<Attempt> {
        if (attempts.isEmpty() || attempts.any { !isWorthMoving(it, nowUs) }) return emptyList()
        return attempts.toList()
    }

    private fun isWorthMoving(
        attempt: Attempt,
        nowUs: Long,
    ) = canSave(attempt) && attempt.firstRunningAtUs > 0 && nowUs - attempt.firstRunningAtUs >= MIN_RUN_US &&
        remainingUs(attempt, nowUs) > attempt.job.spec.checkpointSaveUs + MOVE_COST_US

    private fun canSave(attempt: Attempt) = savesCheckpoints(attempt) && attempt.phase == TaskPhase.RUNNING

    /**
     * How long the attempt is expected to go on. Estimates are often wrong by half: a task that has run for longer than expected goes on
     * for a good part of that.
     */
    fun remainingUs(
        attempt: Attempt,
        nowUs: Long,
    ): Long {
        val progressUs = attempt.progressUs(nowUs)
        return maxOf(runTimes.expectedRunTimeUs(attempt.job.spec) - progressUs, progressUs / OVERRUN_DIVISOR)
    }

    private fun savesCheckpoints(attempt: Attempt) = attempt.job.spec.checkpointIntervalUs > 0

    /** How long the worker waits for the task to save before it kills it. */
    private fun graceUs(attempt: Attempt) = if (savesCheckpoints(attempt)) attempt.job.spec.checkpointSaveUs + MIN_MARGIN_US else 0

    /** Frames get lost, so that an order is repeated while the task is still shown as running. Notes the order as sent where it is due. */
    private fun markSentIfDue(
        attempt: Attempt,
        nowUs: Long,
    ): Boolean {
        val previousSentAtUs = lastSentAtUs[attempt.number]
        if (previousSentAtUs != null && nowUs - previousSentAtUs < REPEAT_INTERVAL_US) return false
        lastSentAtUs[attempt.number] = nowUs
        if (attempt.saveCommandedAtUs == 0L && savesCheckpoints(attempt)) attempt.saveCommandedAtUs = nowUs
        return true
    }

    /** The attempt has ended. */
    fun onAttemptEnded(attempt: Attempt) {
        lastSentAtUs.remove(attempt.number)
        requestedStops.remove(attempt.number)
    }

    private companion object {
        /** The least time, beside the saving, with which saving is expected to succeed. */
        const val MIN_MARGIN_US = SECOND

        /** The time left beside the saving at which a task is stopped: two repeats of a lost order fit in. */
        const val MAX_MARGIN_US = 6 * SECOND

        /** A start that is stopped sooner does not count for its job's objectives. */
        const val MIN_RUN_US = 35 * SECOND

        /** The time that a task loses by starting elsewhere: a round of requests, an image fetch. */
        const val MOVE_COST_US = 15 * SECOND

        /** A task that has run for longer than expected goes on for one part in so many of its progress. */
        const val OVERRUN_DIVISOR = 4
        const val REPEAT_INTERVAL_US = 2 * SECOND
    }
}
