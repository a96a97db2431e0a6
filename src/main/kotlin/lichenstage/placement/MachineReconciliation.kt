package lichenstage.placement

import lichenstage.cluster.AttemptCommand
import lichenstage.cluster.MachineState
import lichenstage.cluster.TaskEndCause
import lichenstage.cluster.TaskPhase
import lichenstage.cluster.TaskState

/** The stops and clears that a machine needs, and whether it runs tasks that count for no team because their attempts are not tracked. */
internal class MachineReconciliation(
    val stops: List<AttemptCommand>,
    val clears: List<AttemptCommand>,
    val hasUnaccountedTasks: Boolean,
) {
    companion object {
        /** Compares the task list of a machine with [jobs], a map from job id to job. */
        fun of(
            machine: MachineState,
            jobs: Map<String, Job>,
        ): MachineReconciliation {
            if (machine.isLost) return MachineReconciliation(emptyList(), emptyList(), hasUnaccountedTasks = false)
            val stops = ArrayList<AttemptCommand>()
            val clears = ArrayList<AttemptCommand>()
            var hasUnaccountedTasks = false
            for (task in machine.tasks) {
                val job = jobs[task.job]
                if (task.phase == TaskPhase.ENDED) {
                    if (!mustBeKept(task, job)) clears += commandFor(machine, task)
                } else {
                    val isTrackedAttempt = isTracked(task, machine.name, job)
                    if (!isTrackedAttempt) hasUnaccountedTasks = true
                    if (!isTrackedAttempt || !isOpen(job)) stops += commandFor(machine, task)
                }
            }
            // A worker that has not shown the fencing token gets no commands.
            return if (machine.isTokenConfirmed) {
                MachineReconciliation(
                    stops,
                    clears,
                    hasUnaccountedTasks,
                )
            } else {
                MachineReconciliation(emptyList(), emptyList(), hasUnaccountedTasks)
            }
        }

        private fun commandFor(
            machine: MachineState,
            task: TaskState,
        ) = AttemptCommand(machine.name, task.taskId, task.attemptNumber)

        private fun isOpen(job: Job?) = job != null && job.phase != JobPhase.CLOSED

        /** Whether the machine must keep listing the task: the task is done, but this is not recorded yet (invariant 9). */
        private fun mustBeKept(
            task: TaskState,
            job: Job?,
        ) = job != null && isOpen(job) && task.index >= 0 && task.cause == TaskEndCause.DONE && !job.recordedTasks.get(task.index)

        private fun isTracked(
            task: TaskState,
            machine: String,
            job: Job?,
        ): Boolean {
            val attempt = job?.liveAttempts?.get(task.index) ?: return false
            return attempt.number == task.attemptNumber && attempt.machine == machine
        }
    }
}
