package lichenstage.drain

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** Whether a drain goes on. */
enum class DrainStatus {
    RUNNING,

    /** By an operator, or by itself: nothing is cordoned, interrupted, hired or given back for it until it is resumed. */
    PAUSED,
    CANCELLED,
    FINISHED,
}

/** A drain as it was asked for. Its machines ([DrainState]) are fixed then: those that come up later are not drained. */
data class Drain(
    val name: String,
    /** Each machine is followed by a fresh one of its type, zone and kind, which has proven itself before the old one is emptied. */
    val replace: Boolean,
    /** Machines that are on their way out at once, at the most. */
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

    /** A machine to follow it has been asked for, and has not proven itself yet; it takes tasks as before. */
    PREPARING,

    /** It takes no more tasks. */
    CORDONED,

    /** Tasks on it have been stopped. */
    EMPTYING,

    /** Nothing is left on it: it is given back. */
    EMPTIED,

    /** It is gone. */
    GONE,

    /** It is gone, and another has taken its place. */
    REPLACED,

    /** It was lost before it was emptied. */
    FAILED,
    ;

    val isOver get() = this >= GONE

    /** Something is being done with it. */
    val isUnderWay get() = this != WAITING && !isOver

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
    /** Replacements that came to nothing. */
    val failures: Int = 0,
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

/** All that drains have to remember from leader to leader. Persistent: a plan is made on a copy, which costs what it changes. */
data class DrainState(
    val machines: PersistentMap<DrainKey, DrainedMachine> = persistentMapOf(),
    val interruptions: PersistentMap<TaskId, Interruption> = persistentMapOf(),
)

/** A task that may be running, as drains see it. */
data class RunningTask(
    val task: TaskId,
    val attempt: Long,
    val team: String,
    val jobClass: String,
    /** It runs, and is not saving. */
    val running: Boolean,
    /** How long it is expected to go on. */
    val remainingUs: Long,
    /** Progress that is lost where it is stopped now. */
    val lostProgressUs: Long,
)

/** How a machine stands. */
enum class MachineCondition {
    /** It has shown its partition's token, reports, and is recorded. */
    HEALTHY,

    /** Nothing was heard of it yet, or it is silent. */
    UNCONFIRMED,

    /** Its lease has run out. */
    LOST,

    /** No record names it, and nobody has heard it: one that was there is gone, one that was hired has not come up. */
    ABSENT,

    /** It is proven gone. */
    GONE,
}

/** Where a task stands, as far as an interruption of it goes. */
sealed interface TaskExecution {
    /** It is done, or its job is. */
    data object Finished : TaskExecution

    /** It runs as this attempt. */
    data class Running(
        val attempt: Long,
    ) : TaskExecution

    data object NotRunning : TaskExecution
}

/** What drains see of the cluster, as its leader knows it. */
interface DrainView {
    /** The leader knows of every machine what runs on it. */
    val isComplete: Boolean

    /** How a machine stands. */
    fun condition(machine: String): MachineCondition

    /** What may be running on a machine. */
    fun tasksOn(machine: String): List<RunningTask>

    /** Where a task stands. */
    fun execution(task: TaskId): TaskExecution

    /** How many tasks of each team run. */
    fun runningByTeam(): Map<String, Int>

    /** Tasks have failed on the machine. */
    fun isFaulty(machine: String): Boolean
}

/** What drains ask for, once what it rests on is recorded. */
sealed interface DrainAction {
    /** Stop these tasks, with time to save where they can. */
    data class EvictTasks(
        val tasks: List<RunningTask>,
    ) : DrainAction

    /** Hire a machine to follow this one. */
    data class ProvisionReplacement(
        val key: DrainKey,
    ) : DrainAction

    /** Give a machine back. */
    data class Terminate(
        val machine: String,
    ) : DrainAction

    /** The drain goes no further by itself. */
    data class Pause(
        val drain: String,
        val reason: String,
    ) : DrainAction

    /** All machines of the drain are gone. */
    data class Finish(
        val drain: String,
    ) : DrainAction
}
