package lichenstage.cluster

/** Causes of a task's end, as workers report them and as frames between controllers carry them ([TaskState.cause]). */
object TaskEndCause {
    /** The task has finished its work. */
    const val DONE = "done"

    /** It was stopped by a command. */
    const val HALTED = "halted"

    /** It has failed. */
    const val ERROR = "error"

    /** Its start was refused: another attempt of the same task is on the machine. */
    const val BUSY = "busy"
}
