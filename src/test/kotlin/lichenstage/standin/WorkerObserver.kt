package lichenstage.standin

/** Observes what workers do, and may make them delay direct orders. Its functions are called on the event loop of the workers. */
internal interface WorkerObserver {
    /** Called when a task has started on a machine. */
    fun onTaskStarted(
        task: String,
        machine: String,
    ) = Unit

    /** Called when a task has ended on a machine, or was lost with its worker or the worker's lease. */
    fun onTaskEnded(
        task: String,
        machine: String,
    ) = Unit

    /** Called when a running task was stopped by a command, after [onTaskEnded]. */
    fun onTaskStopped(task: String) = Unit

    /**
     * Returns the milliseconds for which a worker delays a direct order that starts [tasks]. Null means no delay. A delayed order gets no
     * reply.
     */
    fun orderDelayMs(tasks: List<String>): Long? = null

    /**
     * Called at the end of the delay of a direct order that starts [tasks], before the worker checks its fencing token and agent epoch and
     * executes it.
     */
    fun onDelayedOrderDue(tasks: List<String>) = Unit

    /** Returns the milliseconds after which a copy of an answered direct order that starts [tasks] arrives. Null means that none does. */
    fun orderCopyDelayMs(tasks: List<String>): Long? = null

    /** Called when a copy of an answered direct order arrives, before the worker checks its fencing token and agent epoch. */
    fun onOrderCopyDue(tasks: List<String>) = Unit
}

/**
 * The behaviour of a worker.
 *
 * @property controllerPorts the port of each controller, by its label
 * @property leaseMs the time for which a worker keeps its tasks after it sent the last heartbeat that got a reply
 * @property taskDurationMs the time for which each task runs
 * @property heartbeatIntervalMs the time between two heartbeats
 * @property oddTaskFactor how many times as long the tasks with an odd index run
 * @property neverBoots whether the machine stays in the state `starting` for good
 */
internal class WorkerProfile(
    val controllerPorts: Map<String, Int>,
    val leaseMs: Long,
    val taskDurationMs: Long,
    val heartbeatIntervalMs: Long,
    val oddTaskFactor: Int = 1,
    val neverBoots: Boolean = false,
)
