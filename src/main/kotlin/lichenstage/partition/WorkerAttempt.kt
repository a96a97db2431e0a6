package lichenstage.partition

import lichenstage.cluster.TaskEndCause
import lichenstage.cluster.TaskPhase
import lichenstage.cluster.TaskState
import lichenstage.common.SECOND

/**
 * The partition's record of one execution of a task on a machine, from the leader's start until the worker has cleared the attempt.
 *
 * All times are in microseconds of the controller's clock.
 *
 * @property taskId the task, as `JOB/INDEX`
 * @property number the attempt's number, unique across all leaders (invariant 7)
 * @property firstSeenAtUs when this partition first learned of the attempt
 */
internal class WorkerAttempt(
    val taskId: String,
    val number: Long,
    val firstSeenAtUs: Long,
) {
    val job = taskId.substringBefore('/')
    var phase = TaskPhase.PENDING
    var cause: String? = null
    var isStopRequested = false
    var isClearRequested = false

    /** Whether the leader has said that all tasks of the job are done and recorded, so that nobody can cancel the job any more. */
    var isJobComplete = false

    /** The time that the task gets to save a checkpoint before it is stopped; null if no checkpoint stop is requested. */
    var checkpointLeewayUs: Long? = null

    /** When a message to the worker last carried the checkpoint stop. */
    var checkpointStopSentAtUs = NEVER_US

    /** The version of the partition's [ChangeLog] at the last change that the leader has to see. */
    var version = 0L

    /** The sequence number of the last heartbeat that listed the attempt. */
    var lastListedSequence = -1L

    /** The number of direct orders in flight that carry this start. */
    var startOrdersInFlight = 0

    /** Whether a direct order with this start got no reply. The worker may execute it until it refuses the order's fencing token. */
    var isStartIndeterminate = false

    /** When the reply to a heartbeat last carried this start. */
    var startReplySentAtUs = NEVER_US

    /** The sequence number of the last heartbeat whose reply carried this start; negative if no reply did. */
    var startReplySequence = -1L

    /** When a direct order last carried this start. */
    var directStartAtUs = NEVER_US

    /**
     * The fencing token of the last direct order that carried this start; 0 if there was none. Unlike a reply to a heartbeat, an order may
     * be executed late or repeatedly.
     */
    var directStartToken = 0L

    /** The latest time at which the job is confirmed to have been open. No user was told of the job's end before this time. */
    var jobConfirmedOpenAtUs = NEVER_US

    /** Whether a heartbeat has listed the attempt. */
    val isListed get() = phase != TaskPhase.PENDING

    /** Whether the start is no longer wanted and no heartbeat has listed the attempt. */
    val isUnwantedStart get() = !isListed && isStopRequested

    /**
     * Returns whether the checkpoint stop should be sent now. A second stop may interrupt the saving of the checkpoint. The stop is
     * therefore repeated only when the worker would no longer accept the reply that carried the last one.
     */
    fun isCheckpointStopDue(nowUs: Long) =
        checkpointLeewayUs != null && !isStopRequested && phase == TaskPhase.RUNNING && nowUs - checkpointStopSentAtUs > REPLY_VALIDITY_US

    private fun isStartInFlight(nowUs: Long) = startOrdersInFlight > 0 || nowUs - startReplySentAtUs <= REPLY_VALIDITY_US

    /** Returns whether a machine whose current fencing token is [fencingToken] may still execute a direct order with this start. */
    fun isStartExecutableUnder(fencingToken: Long) = directStartToken > 0 && fencingToken <= directStartToken

    /**
     * Returns whether the start is proven not to have been executed and can no longer be executed (invariants 6 and 18). Returns false once
     * a heartbeat has listed the attempt.
     *
     * Reply to a heartbeat: a worker has one heartbeat in flight. If a heartbeat later than the one whose reply carried the start does not
     * list the attempt, the worker did not execute that reply. Elapsed time proves nothing, because an unreachable machine may run the
     * task.
     *
     * Direct order without a reply: if the machine has shown a newer fencing token than the order's and does not list the attempt, it has
     * not executed the order and refuses it from then on.
     *
     * This guards against a start that is executed long after its job was cancelled. Users saw a start that was executed 73 s late.
     *
     * @param heartbeatSequence the sequence number of the latest regular heartbeat (not a reply to an order) in this agent epoch
     * @param observedFencingToken the highest fencing token that the machine has shown
     */
    fun isProvenNotExecuted(
        heartbeatSequence: Long,
        observedFencingToken: Long,
    ): Boolean {
        if (isListed || startOrdersInFlight > 0) return false
        val isReplyRuledOut = startReplySequence < 0 || startReplySequence < heartbeatSequence
        val isOrderRuledOut = !isStartIndeterminate || !isStartExecutableUnder(observedFencingToken)
        return isReplyRuledOut && isOrderRuledOut
    }

    /**
     * Returns whether a machine with [fencingToken] could execute a repeat of the start after a clear, and the repeat would do harm. A
     * repeat of the start of a done task only makes the task exit once more. That does no harm once the job is complete. Before that, the
     * job may be cancelled, and then no task of it may start.
     */
    private fun isRepeatHarmful(fencingToken: Long) =
        isStartExecutableUnder(fencingToken) && (cause != TaskEndCause.DONE || !isJobComplete || isStartIndeterminate)

    /**
     * Returns whether the worker may forget this attempt (invariant 6).
     *
     * After a clear, a late repeat of an executed order would start the task again. The task would run while a newer attempt runs
     * elsewhere, or start after the cancellation of its job. So the worker keeps the attempt until the machine has shown a newer token
     * than the order's. It may forget a done task of a complete job at once, unless the order got no reply.
     */
    fun isClearable(
        nowUs: Long,
        observedFencingToken: Long,
    ) = !isStartInFlight(nowUs) && !isRepeatHarmful(observedFencingToken)

    /** Returns whether the attempt waits to be cleared and its machine first needs a newer token than its current [fencingToken]. */
    fun needsNewerTokenToClear(fencingToken: Long) = phase == TaskPhase.ENDED && isClearRequested && isRepeatHarmful(fencingToken)

    /** Returns the state of the attempt for a frame to the leader. */
    fun toTaskState() = TaskState(taskId, number, phase, cause)

    private companion object {
        const val NEVER_US = Long.MIN_VALUE / 2

        /** The time after which a reply to a heartbeat is certainly not executed any more. Workers drop replies older than 4 s. */
        const val REPLY_VALIDITY_US = 5 * SECOND
    }
}
