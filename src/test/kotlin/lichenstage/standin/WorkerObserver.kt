package lichenstage.standin

/** Observes what workers do, and may have them hold orders. Called on the event loop of the workers. */
internal interface WorkerObserver {
    /** A task has started on a machine. */
    fun onTaskStarted(
        task: String,
        machine: String,
    ) = Unit

    /** A task has ended on a machine, or is gone with it. */
    fun onTaskEnded(
        task: String,
        machine: String,
    ) = Unit

    /** A running task was stopped by command. */
    fun onTaskStopped(task: String) = Unit

    /** For how long an order with the starts of [tasks] is held, unanswered, before it is executed; null where it is not held. */
    fun orderDelayMs(tasks: List<String>): Long? = null

    /** A held order with the starts of [tasks] is about to be executed. */
    fun onDelayedOrderDue(tasks: List<String>) = Unit
}

/**
 * How workers behave.
 *
 * @property controllerPorts the ports of the controllers by label
 * @property leaseMs how long a worker keeps its tasks after the last heartbeat that was answered
 * @property taskDurationMs how long a task runs
 * @property heartbeatIntervalMs the time between two heartbeats
 * @property neverBoots the machine never comes up
 */
internal class WorkerProfile(
    val controllerPorts: Map<String, Int>,
    val leaseMs: Long,
    val taskDurationMs: Long,
    val heartbeatIntervalMs: Long,
    val neverBoots: Boolean = false,
)
