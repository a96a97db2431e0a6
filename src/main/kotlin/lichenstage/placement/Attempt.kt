package lichenstage.placement

import lichenstage.cluster.TaskPhase

/** One start of a task, from the sending of its start until it is known that nothing of it is left (invariant 6). */
class Attempt(
    val job: Job,
    val index: Int,
    val number: Long,
    val machine: String,
    val partition: String,
) {
    /** The partition's ownership term when the start went out. */
    var partitionTerm = 0L

    /** The number of the leader's frame with the start: a state that does not reflect that frame says nothing of the attempt. */
    var startSeq = 0L
    var phase = TaskPhase.PENDING

    /** The task's name in the worker protocol. */
    val task get() = taskName(job.spec.id, index)

    /** When it was first listed as running; 0 before that. */
    var firstRunningAtUs = 0L

    /** When it was first ordered to save its progress and stop; 0 where it was not. */
    var saveCommandedAtUs = 0L

    /** Progress of the task at [nowUs] in microseconds of run time, with the checkpoints of earlier attempts. */
    fun progressUs(nowUs: Long) = job.savedProgressUs(index) + if (firstRunningAtUs > 0) nowUs - firstRunningAtUs else 0
}

/** The name of a task in the worker protocol. */
fun taskName(
    job: String,
    index: Int,
) = "$job/$index"
