package lichenstage.partition

import lichenstage.cluster.TaskPhase

/**
 * The entry of one attempt in a heartbeat.
 *
 * @property taskId the task, as `JOB/INDEX`
 * @property attemptNumber the number of the attempt
 * @property cause the reason why the attempt ended (see [lichenstage.cluster.TaskEndCause]); null while the attempt has not ended
 */
data class TaskReport(
    val taskId: String,
    val attemptNumber: Long,
    val phase: TaskPhase,
    val cause: String?,
)

/**
 * A worker's heartbeat. The reply to a direct order or a probe has the same content.
 *
 * @property machine the machine's name
 * @property address the address at which the worker accepts direct orders, as `HOST:PORT`
 * @property typeName the machine type
 * @property isSpot whether the machine is a spot machine
 * @property agentEpoch the epoch of the worker process; after a lease has expired, the worker begins a higher epoch without tasks
 * @property sequence the sequence number of the message, which rises with every message of an agent epoch
 * @property fencingToken the highest fencing token that the worker has seen; 0 if none
 * @property timeUntilReclaimUs the time until the cloud provider reclaims the spot machine, in microseconds; null while there is no notice
 * @property tasks all attempts that the worker has not forgotten, including ended ones
 */
data class Heartbeat(
    val machine: String,
    val address: String,
    val typeName: String,
    val zone: String,
    val isSpot: Boolean,
    val agentEpoch: Long,
    val sequence: Long,
    val fencingToken: Long,
    val timeUntilReclaimUs: Long?,
    val tasks: List<TaskReport>,
)

/** An instruction to a worker that concerns one attempt of a task. */
sealed interface Command {
    /** The task, as `JOB/INDEX`. */
    val taskId: String

    /** The number of the attempt. */
    val attemptNumber: Long

    /** The instruction to start the task as this attempt. */
    data class Start(
        override val taskId: String,
        override val attemptNumber: Long,
    ) : Command

    /** The instruction to stop the task. The task gets [leewayS] seconds to save a checkpoint. */
    data class Stop(
        override val taskId: String,
        override val attemptNumber: Long,
        val leewayS: Double,
    ) : Command

    /** The instruction to forget an attempt that has ended. */
    data class Clear(
        override val taskId: String,
        override val attemptNumber: Long,
    ) : Command
}
