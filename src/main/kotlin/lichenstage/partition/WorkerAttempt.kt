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
 * @property firstSeenUs when this partition first knew of the attempt
 */
internal class WorkerAttempt(
    val task: String,
    val number: Long,
    val firstSeenUs: Long,
) {
    val job = task.substringBefore('/')
    var phase = TaskPhase.PENDING
    var cause: String? = null
    var stopRequested = false
    var clearRequested = false

    /** How long the task gets to save a checkpoint before it is stopped; null where no checkpoint stop is requested. */
    var checkpointLeewayUs: Long? = null

    /** When the checkpoint stop was last sent. */
    var checkpointStopSentUs = NEVER_US

    /** The version of the partition's [ChangeLog] that last changed what the leader sees of the attempt. */
    var version = 0L

    /** The sequence number of the last heartbeat that listed it. */
    var lastListedSequence = -1L

    /** Number of direct orders that carry this start and have not completed yet. */
    var startsInFlight = 0

    /** A direct order with this start got no answer: it may still be executed, until the machine refuses its fencing token. */
    var isStartIndeterminate = false

    /** When the answer to a heartbeat last carried this start. */
    var startAnsweredUs = NEVER_US

    /** The sequence number of the last heartbeat whose answer carried this start; negative where none did. */
    var startAnsweredSequence = -1L

    /** When a direct order last carried this start. */
    var startOrderedUs = NEVER_US

    /** The fencing token of that order; 0 where there was none. Unlike an answer, an order may be repeated or executed late. */
    var startOrderToken = 0L

    /** As of when its job was last known to be open: no user was told of the job's end before that. */
    var confirmedOpenUs = NEVER_US

    /** The worker has listed the attempt. */
    val isListed get() = phase != TaskPhase.PENDING

    /** Its start is no longer wanted, and no heartbeat has listed it. */
    val isUnwantedStart get() = !isListed && stopRequested

    /**
     * Whether the checkpoint stop is to be sent now. It is not repeated before the answer that carried it would have been dropped by the
     * worker, since a second stop may interrupt the saving.
     */
    fun isCheckpointStopDue(now: Long) =
        checkpointLeewayUs != null && !stopRequested && phase == TaskPhase.RUNNING && now - checkpointStopSentUs > ANSWER_VALIDITY_US

    private fun isStartInFlight(now: Long) = startsInFlight > 0 || now - startAnsweredUs <= ANSWER_VALIDITY_US

    /** Whether a machine that is commanded under [fencingToken], or has shown it, may still execute a direct order with this start. */
    fun canExecuteUnder(fencingToken: Long) = startOrderToken > 0 && fencingToken <= startOrderToken

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
    fun provenNotStarted(
        heartbeatSequence: Long,
        observedFencingToken: Long,
    ): Boolean {
        if (isListed || startsInFlight > 0) return false
        val isAnswerRuledOut = startAnsweredSequence < 0 || startAnsweredSequence < heartbeatSequence
        val isOrderRuledOut = !isStartIndeterminate || !canExecuteUnder(observedFencingToken)
        return isAnswerRuledOut && isOrderRuledOut
    }

    /** Whether a repeat of the start under [fencingToken] would do harm after a clear: a task that is done only exits once more. */
    private fun isRepeatHarmful(fencingToken: Long) = canExecuteUnder(fencingToken) && (cause != TaskEndCause.DONE || isStartIndeterminate)

    /**
     * Whether the worker may forget this attempt (invariant 6). A late repeat of an executed order would start the task again: one that is
     * done only exits once more, any other would run while the task is elsewhere. Those are kept until the machine has shown a newer token
     * than the order's, as is one that is done but whose order got no answer.
     */
    fun isClearable(
        now: Long,
        observedFencingToken: Long,
    ) = !isStartInFlight(now) && !isRepeatHarmful(observedFencingToken)

    /** Whether it waits to be cleared but the machine, commanded under [fencingToken], needs a newer token first. */
    fun needsTokenToClear(fencingToken: Long) = phase == TaskPhase.ENDED && clearRequested && isRepeatHarmful(fencingToken)

    /** The attempt as the leader is told of it. */
    fun toTaskState() = TaskState(task, number, phase, cause)

    private companion object {
        const val NEVER_US = Long.MIN_VALUE / 2

        /** Workers drop answers to heartbeats that are older than 4 s. */
        const val ANSWER_VALIDITY_US = 5 * SECOND
    }
}
