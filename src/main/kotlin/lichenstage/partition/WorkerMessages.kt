package lichenstage.partition

import lichenstage.cluster.TaskPhase

/** One task in a worker's report. */
data class TaskReport(
    val task: String,
    val attempt: Long,
    val phase: TaskPhase,
    val cause: String?,
)

/** A worker's report, in standard terms. */
data class Heartbeat(
    val machine: String,
    val address: String,
    val typeName: String,
    val zone: String,
    val spot: Boolean,
    val agentEpoch: Long,
    val sequence: Long,
    val fencingToken: Long,
    val recallUs: Long?,
    val tasks: List<TaskReport>,
)

/** A command to a worker. */
sealed interface Command {
    val task: String
    val attempt: Long

    /** Start a task. */
    data class Start(
        override val task: String,
        override val attempt: Long,
    ) : Command

    /** Stop a task, with time to save. */
    data class Stop(
        override val task: String,
        override val attempt: Long,
        val leewayS: Double,
    ) : Command

    /** Forget a task that has ended. */
    data class Clear(
        override val task: String,
        override val attempt: Long,
    ) : Command
}
