package lichenstage.partition

import lichenstage.cluster.TaskPhase

/**
 * One attempt of a task as a heartbeat lists it.
 *
 * @property task the task, as `JOB/INDEX`
 * @property cause why it has ended; null while it has not (see [lichenstage.cluster.TaskEndCause])
 */
data class TaskReport(
    val task: String,
    val attempt: Long,
    val phase: TaskPhase,
    val cause: String?,
)

/**
 * A worker's heartbeat, or the equal content of its answer to an order.
 *
 * @property machine the machine's name
 * @property address where the worker takes orders, as `HOST:PORT`
 * @property typeName the machine type
 * @property spot it is a spot instance
 * @property agentEpoch the epoch of the worker's agent: a higher one begins with an empty machine after a lease has expired
 * @property sequence rises with every message of an epoch
 * @property fencingToken the highest token that the worker has seen; 0 where none
 * @property recallUs how long until the cloud takes a spot instance back, in microseconds; null while there is no notice
 * @property tasks all attempts that the worker knows of
 */
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

/** A command to a worker about one attempt of a task. */
sealed interface Command {
    val task: String
    val attempt: Long

    /** Start the task. */
    data class Start(
        override val task: String,
        override val attempt: Long,
    ) : Command

    /** Stop the task; it has [leewayS] seconds to save a checkpoint. */
    data class Stop(
        override val task: String,
        override val attempt: Long,
        val leewayS: Double,
    ) : Command

    /** Forget an attempt that has ended. */
    data class Clear(
        override val task: String,
        override val attempt: Long,
    ) : Command
}
