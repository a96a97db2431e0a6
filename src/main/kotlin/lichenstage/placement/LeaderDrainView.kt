package lichenstage.placement

import lichenstage.cluster.TaskPhase
import lichenstage.drain.DrainView
import lichenstage.drain.Interruption
import lichenstage.drain.InterruptionCause
import lichenstage.drain.MachineCondition
import lichenstage.drain.PlacedTask
import lichenstage.drain.TaskExecution
import lichenstage.drain.TaskId
import lichenstage.fleet.MachineHealth

/** The leader's machines and tasks, as drain decisions see them. */
class LeaderDrainView(
    private val core: LeaderCore,
    private val clockNowUs: () -> Long,
) : DrainView {
    override val isComplete get() = core.isFailoverComplete

    override fun condition(machine: String): MachineCondition {
        if (core.machines.isTerminated(machine)) return MachineCondition.GONE
        val state = core.machines.stateOf(machine)
        return when {
            state == null -> if (core.machines.isRegistered(machine)) MachineCondition.UNCONFIRMED else MachineCondition.ABSENT
            state.isLost -> MachineCondition.LOST
            state.isTokenConfirmed && !state.isSilent && core.machines.isRegistered(machine) -> MachineCondition.HEALTHY
            else -> MachineCondition.UNCONFIRMED
        }
    }

    /**
     * Returns the tasks on a machine, including listed tasks for which the leader tracks no attempt, because the machine is not empty
     * until they are stopped too.
     */
    override fun tasksOn(machine: String): List<PlacedTask> {
        val attempts = core.machines.attemptsOn(machine)
        val attemptNumbers = attempts.mapTo(HashSet()) { it.number }
        val unaccountedTasks =
            core.machines
                .stateOf(machine)
                ?.tasks
                .orEmpty()
                .filter { it.phase != TaskPhase.ENDED && it.attemptNumber !in attemptNumbers }
                .map {
                    PlacedTask(TaskId(it.job, it.index), it.attemptNumber, "", "", isRunning = false, remainingUs = 0, lostProgressUs = 0)
                }
        return attempts.map(::toPlacedTask) + unaccountedTasks
    }

    private fun toPlacedTask(attempt: Attempt): PlacedTask {
        val spec = attempt.job.spec
        return PlacedTask(
            TaskId(spec.id, attempt.index),
            attempt.number,
            spec.team,
            spec.jobClass,
            isRunning = attempt.phase == TaskPhase.RUNNING,
            remainingUs = core.remainingUs(attempt, clockNowUs()),
            lostProgressUs = if (spec.checkpointIntervalUs > 0) spec.checkpointSaveUs else attempt.progressUs(clockNowUs()),
        )
    }

    override fun execution(taskId: TaskId): TaskExecution {
        val job = core.jobs[taskId.job]
        if (job == null || job.phase == JobPhase.CLOSED || job.doneTasks.get(taskId.index)) return TaskExecution.Finished
        val attempt = job.liveAttempts.get(taskId.index)
        val isRunning = attempt != null && (attempt.phase == TaskPhase.RUNNING || attempt.phase == TaskPhase.SAVING)
        return if (isRunning) TaskExecution.Running(attempt.number) else TaskExecution.NotRunning
    }

    override fun runningTasksByTeam() = core.machines.runningTasksByTeam()

    override fun isFaulty(machine: String) = core.machines.healthOf(machine, clockNowUs()) != MachineHealth.SOUND

    /** Returns the attempts of [tasks] that may still be running. */
    fun attemptsOf(tasks: Collection<PlacedTask>): List<Attempt> =
        tasks.mapNotNull { placedTask ->
            core.jobs[placedTask.taskId.job]
                ?.liveAttempts
                ?.get(placedTask.taskId.index)
                ?.takeIf { it.number == placedTask.attemptNumber }
        }

    companion object {
        /** Returns an interruption of [attempt] by a failure. Drains ignore it if an interruption of the task is recorded already. */
        fun failureInterruption(
            attempt: Attempt,
            atUs: Long,
        ) = Interruption(
            TaskId(attempt.job.spec.id, attempt.index),
            attempt.number,
            attempt.job.spec.team,
            InterruptionCause.FAILURE,
            atUs,
        )
    }
}
