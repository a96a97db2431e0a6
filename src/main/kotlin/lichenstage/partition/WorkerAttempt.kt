package lichenstage.partition

import lichenstage.cluster.TaskEndCause
import lichenstage.cluster.TaskPhase
import lichenstage.cluster.TaskState
import lichenstage.common.SECOND

/**
 * One attempt to run a task on a machine, as the partition follows it from the leader's start until the worker has cleared it.
 *
 * All times are in microseconds of the controller's clock.
 *
 * @property task the task, as `JOB/INDEX`
 * @property number the attempt's number, unique across all leaders (invariant 7)
 * @property firstSeenAtUs when this partition first knew of the attempt
 */
internal class WorkerAttempt(
    val task: String,
    val number: Long,
    val firstSeenAtUs: Long,
) {
    val job = task.substringBefore('/')
    var phase = TaskPhase.PENDING
    var cause: String? = null
    var isStopRequested = false
    var isClearRequested = false

    /** How long the task gets to save a checkpoint before it is stopped; null where no checkpoint stop is requested. */
    var checkpointLeewayUs: Long? = null

    /** When the checkpoint stop was last sent. */
    var checkpointStopSentAtUs = NEVER_US

    /** The version of the partition's [ChangeLog] that last changed what the leader sees of the attempt. */
    var version = 0L

    /** The sequence number of the last heartbeat that listed it. */
    var lastListedSequence = -1L

    /** Number of direct orders that carry this start and have not completed yet. */
    var startOrdersInFlight = 0

    /** A direct order with this start got no answer: it may still be executed, until the machine refuses its fencing token. */
    var isStartIndeterminate = false

    /** When the answer to a heartbeat last carried this start. */
    var startReplySentAtUs = NEVER_US

    /** The sequence number of the last heartbeat whose answer carried this start; negative where none did. */
    var startReplySequence = -1L

    /** When a direct order last carried this start. */
    var directStartAtUs = NEVER_US

    /** The fencing token of that order; 0 where there was none. Unlike an answer, an order may be repeated or executed late. */
    var directStartToken = 0L

    /** As of when its job was last known to be open: no user was told of the job's end before that. */
    var jobOpenAtUs = NEVER_US

    /** The worker has listed the attempt. */
    val isListed get() = phase != TaskPhase.PENDING

    /** Its start is no longer wanted, and no heartbeat has listed it. */
    val isUnwantedStart get() = !isListed && isStopRequested

    /**
     * Whether the checkpoint stop is to be sent now. It is not repeated before the answer that carried it would have been dropped by the
     * worker, since a second stop may interrupt the saving.
     */
    fun isCheckpointStopDue(nowUs: Long) =
        checkpointLeewayUs != null && !isStopRequested && phase == TaskPhase.RUNNING && nowUs - checkpointStopSentAtUs > REPLY_VALIDITY_US

    private fun isStartInFlight(nowUs: Long) = startOrdersInFlight > 0 || nowUs - startReplySentAtUs <= REPLY_VALIDITY_US

    /** Whether a machine that is commanded under [fencingToken], or has shown it, may still execute a direct order with this start. */
    fun isStartExecutableUnder(fencingToken: Long) = directStartToken > 0 && fencingToken <= directStartToken

    /**
     * Whether the start, which no heartbeat has listed, is proven not to have been executed, now or later (invariants 6 and 18).
     *
     * A worker has one heartbeat in flight. A later heartbeat than the one that was answered with the start therefore proves, by not
     * listing the attempt, that the answer was not executed. Elapsed time proves nothing, since the machine may run the task while it
     * can't be reached. A direct order without an answer has not been executed where the machine has shown a newer fencing token than
     * the order's and does not list the attempt: from then on it refuses the order. Guards against a start that is executed minutes
     * after its job was cancelled (seen by users: 73 s).
     *
     * @param heartbeatSequence the latest heartbeat that the machine has sent by itself in this agent epoch
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

    /** Whether a repeat of the start under [fencingToken] would do harm after a clear: a task that is done only exits once more. */
    private fun isRepeatHarmful(fencingToken: Long) =
        isStartExecutableUnder(fencingToken) && (cause != TaskEndCause.DONE || isStartIndeterminate)

    /**
     * Whether the worker may forget this attempt (invariant 6). A late repeat of an executed order would start the task again: one that is
     * done only exits once more, any other would run while the task is elsewhere. Those are kept until the machine has shown a newer token
     * than the order's, as is one that is done but whose order got no answer.
     */
    fun isClearable(
        nowUs: Long,
        observedFencingToken: Long,
    ) = !isStartInFlight(nowUs) && !isRepeatHarmful(observedFencingToken)

    /** Whether it waits to be cleared but the machine, commanded under [fencingToken], needs a newer token first. */
    fun needsNewerTokenToClear(fencingToken: Long) = phase == TaskPhase.ENDED && isClearRequested && isRepeatHarmful(fencingToken)

    /** The attempt as the leader is told of it. */
    fun toTaskState() = TaskState(task, number, phase, cause)

    private companion object {
        const val NEVER_US = Long.MIN_VALUE / 2

        /** Workers drop answers to heartbeats that are older than 4 s. */
        const val REPLY_VALIDITY_US = 5 * SECOND
    }
}
