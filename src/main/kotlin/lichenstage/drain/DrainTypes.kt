package lichenstage.drain

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** Whether a drain goes on. */
enum class DrainStatus {
    RUNNING,

    /** By an operator, or by itself: no machine is cordoned, provisioned or terminated and no task evicted for it until it is resumed. */
    PAUSED,
    CANCELLED,
    FINISHED,
}

/** A drain as it was requested. Its machines ([DrainState]) are fixed then: those that come up later are not drained. */
data class Drain(
    val name: String,
    /** Each machine is replaced by a new one like it, which must have started a task before the old one is emptied. */
    val replace: Boolean,
    /** The most machines that are being drained at once. */
    val maxConcurrent: Int,
    val status: DrainStatus,
    /** Why it is paused or cancelled. */
    val reason: String?,
    /** Times of day. */
    val requestedUs: Long,
    val deadlineUs: Long?,
)

/** How far a machine of a drain is. */
enum class Stage {
    WAITING,

    /** Its replacement was requested, and has not started a task yet; the machine itself takes tasks as before. */
    PREPARING,

    /** It takes no more tasks. */
    CORDONED,

    /** Tasks on it have been evicted. */
    EMPTYING,

    /** No task is left on it: it is being terminated. */
    EMPTIED,

    /** It is terminated. */
    GONE,

    /** It is terminated, and its replacement is in use. */
    REPLACED,

    /** It was lost before it was emptied. */
    FAILED,
    ;

    val isOver get() = this >= GONE

    /** Something is being done with it. */
    val isInProgress get() = this != WAITING && !isOver

    /** It takes no tasks. */
    val isCordoned get() = this == CORDONED || this == EMPTYING || this == EMPTIED
}

/** A machine of a drain. */
data class DrainedMachine(
    val name: String,
    val drain: String,
    val stage: Stage,
    /** Time of day at which the stage began. */
    val sinceUs: Long,
    val replacement: String? = null,
    /** How many of its replacements have failed. */
    val failedReplacements: Int = 0,
) {
    val key get() = DrainKey(drain, name)
}

/** A machine in a drain: drains may overlap. */
data class DrainKey(
    val drain: String,
    val machine: String,
)

/** A task of a job. */
data class TaskId(
    val job: String,
    val index: Int,
) {
    override fun toString() = "$job/$index"

    companion object {
        /** Reads `JOB/INDEX`; null where it is neither. */
        fun parse(text: String): TaskId? = text.substringAfterLast('/').toIntOrNull()?.let { TaskId(text.substringBeforeLast('/'), it) }
    }
}

/** Why a task does not run. */
enum class InterruptionCause {
    /** A drain stopped it. */
    DRAIN,

    /** Its machine was lost, or it failed. */
    FAILURE,
}

/** A task that ran as [attempt] and does not run until another attempt of it does, or its job is over. */
data class Interruption(
    val task: TaskId,
    val attempt: Long,
    val team: String,
    val cause: InterruptionCause,
    /** Time of day. */
    val sinceUs: Long,
) {
    /** The task runs as another attempt, or is over. */
    fun isOver(execution: TaskExecution) =
        when (execution) {
            TaskExecution.Finished -> true
            is TaskExecution.Running -> execution.attempt != attempt
            TaskExecution.NotRunning -> false
        }
}

/** What drains keep from leader to leader. The maps are persistent: a plan is made on a copy, which costs what it changes. */
data class DrainState(
    val machines: PersistentMap<DrainKey, DrainedMachine> = persistentMapOf(),
    val interruptions: PersistentMap<TaskId, Interruption> = persistentMapOf(),
)

/** A task that may be running, as drains see it. */
data class PlacedTask(
    val task: TaskId,
    val attempt: Long,
    val team: String,
    val jobClass: String,
    /** It runs, and is not saving. */
    val isRunning: Boolean,
    /** How long it is expected to go on. */
    val remainingUs: Long,
    /** Progress that is lost where it is stopped now. */
    val lostProgressUs: Long,
)

/** The condition of a machine as the leader knows it. */
enum class MachineCondition {
    /** It has shown its partition's fencing token, sends heartbeats, and is recorded. */
    HEALTHY,

    /** It has not sent a heartbeat yet, or its heartbeats are missing. */
    UNCONFIRMED,

    /** Its lease has run out. */
    LOST,

    /** No record names it, and it has sent no heartbeat: it is terminated, or was provisioned and has not come up. */
    ABSENT,

    /** It is proven gone. */
    GONE,
}

/** Whether a task runs, as far as an interruption of it is concerned. */
sealed interface TaskExecution {
    /** It is done, or its job is. */
    data object Finished : TaskExecution

    /** It runs as this attempt. */
    data class Running(
        val attempt: Long,
    ) : TaskExecution

    data object NotRunning : TaskExecution
}

/** The cluster as its leader knows it. */
interface DrainView {
    /** The leader knows of every machine what runs on it. */
    val isComplete: Boolean

    /** The condition of a machine. */
    fun condition(machine: String): MachineCondition

    /** What may be running on a machine. */
    fun tasksOn(machine: String): List<PlacedTask>

    /** Whether a task runs. */
    fun execution(task: TaskId): TaskExecution

    /** How many tasks of each team run. */
    fun runningByTeam(): Map<String, Int>

    /** Tasks have failed on the machine. */
    fun isFaulty(machine: String): Boolean
}

/** An action of a drain. It is carried out only once the state that it follows from is recorded. */
sealed interface DrainAction {
    /** Evicts these tasks gracefully: with time to save a checkpoint where they can. */
    data class EvictTasks(
        val tasks: List<PlacedTask>,
    ) : DrainAction

    /** Provisions a machine to replace this one. */
    data class ProvisionReplacement(
        val key: DrainKey,
    ) : DrainAction

    /** Terminates a machine. */
    data class Terminate(
        val machine: String,
    ) : DrainAction

    /** Pauses the drain, for it can't go on without an operator. */
    data class Pause(
        val drain: String,
        val reason: String,
    ) : DrainAction

    /** Ends the drain: it is over for all of its machines. */
    data class Finish(
        val drain: String,
    ) : DrainAction
}
