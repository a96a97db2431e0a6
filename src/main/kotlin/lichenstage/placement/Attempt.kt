package lichenstage.placement

import lichenstage.cluster.TaskPhase

/**
 * One execution of a task, from the sending of its start until the attempt is proven to be gone (invariant 6).
 *
 * @property index the index of the task in its job
 * @property number the number of the attempt, with the leader's term as its high part (invariant 7)
 */
class Attempt(
    val job: Job,
    val index: Int,
    val number: Long,
    val machine: String,
    val partition: String,
) {
    /** The ownership term of the partition when the leader sent the start. */
    var partitionTerm = 0L

    /**
     * The sequence number of the leader's frame that contained the start. Until a partition state reflects this frame, the
     * absence of the attempt from a task list in this state proves nothing.
     */
    var startSeq = 0L
    var phase = TaskPhase.PENDING

    /** The id of the task in the worker protocol. */
    val taskId get() = taskId(job.spec.id, index)

    /**
     * The time in microseconds when the listed phase changed to running; 0 before that. It stays 0 for an attempt that was already running
     * when this leader recovered it.
     */
    var startedRunningAtUs = 0L

    /** The time in microseconds of the first command to save a checkpoint and stop; 0 if there was none. */
    var checkpointStopAtUs = 0L

    /** Returns the progress of the task at [nowUs] in microseconds of run time, including the checkpoints of earlier attempts. */
    fun progressUs(nowUs: Long) = job.savedProgressUs(index) + if (startedRunningAtUs > 0) nowUs - startedRunningAtUs else 0
}

/** Returns the id of a task in the worker protocol: the job id and the task index, e.g. `j-1/0`. */
fun taskId(
    job: String,
    index: Int,
) = "$job/$index"
