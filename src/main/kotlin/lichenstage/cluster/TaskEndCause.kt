package lichenstage.cluster

/** The causes of a task's end that workers report and frames between controllers carry ([TaskState.cause]). */
object TaskEndCause {
    /** The task has finished its work. */
    const val DONE = "done"

    /** A stop command ended the task. */
    const val HALTED = "halted"

    /** The task has failed. */
    const val ERROR = "error"

    /** The worker refused the start, since another attempt of the same task is on the machine. */
    const val BUSY = "busy"
}
