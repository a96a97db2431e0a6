package lichenstage.placement

import lichenstage.cluster.CheckpointStopCommand
import lichenstage.cluster.MachineState
import lichenstage.cluster.TaskPhase
import lichenstage.common.SECOND

/**
 * The selection of the running tasks that are preempted because their machine will be terminated. Tasks that can save a checkpoint get
 * the time to do so.
 *
 * - After a reclaim notice for a spot machine, a task keeps running until the time left is just enough to save a checkpoint, because the
 *   machine is paid for until then anyway. A task is not stopped if it is expected to end before the reclaim, or if the time left is too
 *   short for saving.
 * - A machine that the fleet scales in is terminated once it is empty. If all tasks left on it can save a checkpoint and would run for a
 *   long time, they are stopped so that they restart on other machines.
 * - A drain by an operator requests the stop of individual attempts.
 */
class CheckpointPreemption(
    private val runTimes: RunTimeEstimates,
) {
    /** The time in microseconds at which a spot machine with a reclaim notice is reclaimed at the latest, by machine name. */
    private val reclaimDeadlinesUs = HashMap<String, Long>()

    /** The time in microseconds when the stop of an attempt was last sent, by attempt number. */
    private val lastSentAtUs = HashMap<Long, Long>()

    /** Attempts whose stop a drain has requested, by attempt number. They may be unable to save a checkpoint. */
    private val stopRequests = LinkedHashMap<Long, Attempt>()

    /** Names of the machines that have a reclaim notice or an attempt that a drain has asked to stop. */
    val affectedMachines: Set<String>
        get() = if (stopRequests.isEmpty()) reclaimDeadlinesUs.keys else reclaimDeadlinesUs.keys + stopRequests.values.map { it.machine }

    /** Requests the stop of [attempts] for a drain. Tasks that can save a checkpoint get the time to do so. */
    fun requestStops(attempts: Collection<Attempt>) = attempts.forEach { stopRequests[it.number] = it }

    /**
     * Records the reclaim notice of a machine, if its state at [nowUs] contains one. The notice may be older than the frame but never
     * newer, so the earliest deadline counts.
     */
    fun onMachineUpdate(
        machine: MachineState,
        nowUs: Long,
    ) {
        val leftUs = machine.timeUntilReclaimUs ?: return
        reclaimDeadlinesUs.merge(machine.name, nowUs + leftUs, ::minOf)
    }

    /** Handles the proven termination of a machine. */
    fun onMachineTerminated(machine: String) {
        reclaimDeadlinesUs.remove(machine)
    }

    /**
     * Returns the commands that are due at [nowUs] for a machine that will be terminated, and records them as sent. [attempts] are all
     * attempts that may be running there. If the machine [isDrained] by an operator and has no reclaim notice, only the attempts whose stop
     * the drain has requested are stopped, because only their stop is within the disruption budget of their team.
     */
    fun takeDueCheckpointStops(
        machine: String,
        attempts: Collection<Attempt>,
        isDrained: Boolean,
        nowUs: Long,
    ): List<CheckpointStopCommand> {
        val reclaimDeadlineUs = reclaimDeadlinesUs[machine]
        val preemptedAttempts =
            when {
                reclaimDeadlineUs != null -> selectBeforeReclaim(attempts, reclaimDeadlineUs - nowUs, nowUs)
                isDrained -> emptyList()
                else -> selectForScaleIn(attempts, nowUs)
            }
        val requestedAttempts = attempts.filter { it.number in stopRequests && it.phase == TaskPhase.RUNNING }
        return (preemptedAttempts + requestedAttempts)
            .distinct()
            .filter {
                markSentIfDue(it, nowUs)
            }.map { CheckpointStopCommand(machine, it.taskId, it.number, graceUs(it)) }
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
    ) = canSave(attempt) && attempt.startedRunningAtUs > 0 && nowUs - attempt.startedRunningAtUs >= MIN_RUN_US &&
        remainingUs(attempt, nowUs) > attempt.job.spec.checkpointSaveUs + MOVE_COST_US

    private fun canSave(attempt: Attempt) = savesCheckpoints(attempt) && attempt.phase == TaskPhase.RUNNING

    /**
     * Returns the expected remaining run time of the attempt in microseconds. Estimates are often wrong by half, so a task that has run
     * longer than expected is assumed to run on for a fixed part of its progress (see [OVERRUN_DIVISOR]).
     */
    fun remainingUs(
        attempt: Attempt,
        nowUs: Long,
    ): Long {
        val progressUs = attempt.progressUs(nowUs)
        return maxOf(runTimes.expectedRunTimeUs(attempt.job.spec) - progressUs, progressUs / OVERRUN_DIVISOR)
    }

    private fun savesCheckpoints(attempt: Attempt) = attempt.job.spec.checkpointIntervalUs > 0

    /** Returns how long the worker waits for the task to save before it kills the task, in microseconds. */
    private fun graceUs(attempt: Attempt) = if (savesCheckpoints(attempt)) attempt.job.spec.checkpointSaveUs + MIN_MARGIN_US else 0

    /**
     * Returns whether the command to stop the attempt is due, and if so records it as sent now. Frames get lost, so the command is repeated
     * while the task is still listed as running.
     */
    private fun markSentIfDue(
        attempt: Attempt,
        nowUs: Long,
    ): Boolean {
        val previousSentAtUs = lastSentAtUs[attempt.number]
        if (previousSentAtUs != null && nowUs - previousSentAtUs < REPEAT_INTERVAL_US) return false
        lastSentAtUs[attempt.number] = nowUs
        if (attempt.checkpointStopAtUs == 0L && savesCheckpoints(attempt)) attempt.checkpointStopAtUs = nowUs
        return true
    }

    /** Handles the end of an attempt: its stop is no longer needed. */
    fun onAttemptEnded(attempt: Attempt) {
        lastSentAtUs.remove(attempt.number)
        stopRequests.remove(attempt.number)
    }

    private companion object {
        /** Minimum time left in addition to the save time. With less, saving is not expected to succeed. */
        const val MIN_MARGIN_US = SECOND

        /** A task is stopped when at most this time is left in addition to the save time. This allows for two repeats of a lost command. */
        const val MAX_MARGIN_US = 6 * SECOND

        /** Minimum run time before a task is moved. If a task is stopped sooner, its start does not count for the job's objectives. */
        const val MIN_RUN_US = 35 * SECOND

        /** Time that a task loses by a restart on another machine: a round of placement requests and an image fetch. */
        const val MOVE_COST_US = 15 * SECOND

        /** The expected remaining time of an overdue task is its progress divided by this number. */
        const val OVERRUN_DIVISOR = 4
        const val REPEAT_INTERVAL_US = 2 * SECOND
    }
}
