package lichenstage.drain

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** The status of a drain. */
enum class DrainStatus {
    RUNNING,

    /**
     * An operator or the drain itself has paused the drain. Until it is resumed, it cordons, provisions and terminates no machines and
     * evicts no tasks.
     */
    PAUSED,
    CANCELLED,
    FINISHED,
}

/** A drain as requested by an operator. Its machines ([DrainState]) are fixed at the request; later machines are not drained. */
data class Drain(
    val name: String,
    /** Whether each machine is replaced by a new one like it. The replacement must be proven to work before the old machine is drained. */
    val shouldReplace: Boolean,
    /** Maximum number of machines that are drained at once. */
    val maxConcurrent: Int,
    val status: DrainStatus,
    /** Reason for the pause or cancellation; null for other statuses. */
    val reason: String?,
    /** Wall clock time of the request. */
    val requestedAtUs: Long,
    /** Wall clock time by which the drain should be finished; null if there is no deadline. Used only to report whether it is late. */
    val deadlineAtUs: Long?,
)

/** The progress of one machine in a drain. */
enum class Stage {
    WAITING,

    /** A replacement is requested but not proven to work yet. The machine itself still receives tasks. */
    PREPARING,

    /** The machine receives no new tasks. */
    CORDONED,

    /** The machine receives no new tasks, and at least one of its tasks has been interrupted. */
    EMPTYING,

    /** The machine runs no tasks and is being terminated. */
    EMPTIED,

    /** The machine is terminated and has no replacement. */
    GONE,

    /** The machine is terminated and its replacement is in use. */
    REPLACED,

    /** The machine was lost before it was empty, or it disappeared while it was being drained. */
    FAILED,
    ;

    val isOver get() = this >= GONE

    /** Whether the drain has begun to process the machine and has not finished with it. */
    val isInProgress get() = this != WAITING && !isOver

    /** Whether the machine receives no new tasks. */
    val isCordoned get() = this == CORDONED || this == EMPTYING || this == EMPTIED
}

/** The state of one machine in one drain. */
data class DrainedMachine(
    val name: String,
    val drain: String,
    val stage: Stage,
    /** Wall clock time at which the stage began. In [Stage.PREPARING], the start of the wait for the current replacement. */
    val sinceUs: Long,
    val replacement: String? = null,
    /** Number of its replacements that failed. */
    val failedReplacements: Int = 0,
) {
    val key get() = DrainKey(drain, name)
}

/** The key of a machine in a drain. The same machine may belong to several drains. */
data class DrainKey(
    val drain: String,
    val machine: String,
)

/** The identity of a task: its job and its index in the job. */
data class TaskId(
    val job: String,
    val index: Int,
) {
    override fun toString() = "$job/$index"

    companion object {
        /** Parses `JOB/INDEX`; returns null if [text] does not end with an index. */
        fun parse(text: String): TaskId? = text.substringAfterLast('/').toIntOrNull()?.let { TaskId(text.substringBeforeLast('/'), it) }
    }
}

/** The reason why a task is interrupted. */
enum class InterruptionCause {
    /** A drain stopped the task. */
    DRAIN,

    /** The task failed or its machine was lost. */
    FAILURE,
}

/** The interruption of a task that ran as attempt [attemptNumber]. It ends when another attempt runs, or the task or its job is done. */
data class Interruption(
    val taskId: TaskId,
    val attemptNumber: Long,
    val team: String,
    val cause: InterruptionCause,
    /** Wall clock time at which the interruption began. */
    val sinceUs: Long,
) {
    /** Returns whether the interruption has ended, given the current [execution] of the task. */
    fun isOver(execution: TaskExecution) =
        when (execution) {
            TaskExecution.Finished -> true
            is TaskExecution.Running -> execution.attemptNumber != attemptNumber
            TaskExecution.NotRunning -> false
        }
}

/** The recorded state of all drains, which a new leader takes over. The maps are persistent, so a modified copy costs only its changes. */
data class DrainState(
    val machines: PersistentMap<DrainKey, DrainedMachine> = persistentMapOf(),
    val interruptions: PersistentMap<TaskId, Interruption> = persistentMapOf(),
)

/** A task that is placed on a machine and may be running. */
data class PlacedTask(
    val taskId: TaskId,
    val attemptNumber: Long,
    val team: String,
    val jobClass: String,
    /** Whether the task is running and not saving a checkpoint. */
    val isRunning: Boolean,
    /** Expected remaining duration. */
    val remainingUs: Long,
    /** Progress that is lost if the task is stopped now. */
    val lostProgressUs: Long,
)

/** The condition of a machine in the leader's view. */
enum class MachineCondition {
    /** The machine has confirmed its partition's fencing token, sends heartbeats and is registered. */
    HEALTHY,

    /** The machine is not known to be healthy: it has sent no heartbeat yet, or its heartbeats are overdue. */
    UNCONFIRMED,

    /** The lease of the machine has expired. */
    LOST,

    /** The machine is not registered and has sent no heartbeat: it is terminated, or it was provisioned and has not started. */
    ABSENT,

    /** The machine is known to be terminated. */
    GONE,
}

/** The execution state of a task, as far as the end of an interruption depends on it. */
sealed interface TaskExecution {
    /** The task or its job has ended. */
    data object Finished : TaskExecution

    /** The task runs as attempt [attemptNumber]. */
    data class Running(
        val attemptNumber: Long,
    ) : TaskExecution

    data object NotRunning : TaskExecution
}

/** The leader's view of the cluster, as far as drains need it. */
interface DrainView {
    /** Whether the leader knows the tasks of every machine. */
    val isComplete: Boolean

    /** Returns the condition of [machine]. */
    fun condition(machine: String): MachineCondition

    /** Returns the tasks that may be running on [machine]. */
    fun tasksOn(machine: String): List<PlacedTask>

    /** Returns the execution state of a task. */
    fun execution(taskId: TaskId): TaskExecution

    /** Returns the number of running tasks of each team. */
    fun runningTasksByTeam(): Map<String, Int>

    /** Returns whether [machine] counts as faulty because tasks have failed on it. */
    fun isFaulty(machine: String): Boolean
}

/** An action of a drain. It is executed only after the state that it follows from is recorded. */
sealed interface DrainAction {
    /** Stops [tasks] gracefully. Tasks that can save a checkpoint get time to do so. */
    data class EvictTasks(
        val tasks: List<PlacedTask>,
    ) : DrainAction

    /** Provisions a replacement for the machine of [key]. */
    data class ProvisionReplacement(
        val key: DrainKey,
    ) : DrainAction

    /** Terminates [machine]. */
    data class Terminate(
        val machine: String,
    ) : DrainAction

    /** Pauses [drain] because it cannot continue without an operator. */
    data class Pause(
        val drain: String,
        val reason: String,
    ) : DrainAction

    /** Marks [drain] as finished because all of its machines have reached a final stage. */
    data class Finish(
        val drain: String,
    ) : DrainAction
}
