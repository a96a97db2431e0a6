package lichenstage.partition

import lichenstage.cluster.TaskPhase
import lichenstage.cluster.TaskState
import lichenstage.common.SECOND

/** One try of one task on a machine, from the leader's order until it has been cleared. Its number is unique (invariant 7). */
class WorkerAttempt(
    val task: String,
    val number: Long,
    /** When this partition first knew of it. */
    val firstSeenUs: Long,
) {
    val job = task.substringBefore('/')
    var phase = TaskPhase.PENDING
    var cause: String? = null
    var stopRequested = false
    var clearRequested = false

    /** The leader wants it stopped with so much time to save; null where it is to run on. */
    var checkpointLeewayUs: Long? = null

    /** When the stop that lets it save was last sent. */
    var checkpointStopSentUs = Long.MIN_VALUE / 2

    /** Of the partition's versions, the one that last changed what the leader sees of it. */
    var version = 0L

    /** The report that listed it last. */
    var lastListedSequence = -1L

    /** Direct orders with this start that have not been answered yet. */
    var startsInFlight = 0

    /** A direct order with this start got no answer: it may still be carried out, until the machine refuses its token. */
    var isStartIndeterminate = false

    /** When a report answer last carried this start; workers drop answers after 4 s. */
    var startAnsweredUs = Long.MIN_VALUE / 2

    /** The last report whose answer carried this start; negative where none did. */
    var startAnsweredSequence = -1L

    /** When a direct order last carried this start. */
    var startOrderedUs = Long.MIN_VALUE / 2

    /** The token of that order, 0 where there was none: unlike an answer, an order may be repeated, or carried out late. */
    var startOrderToken = 0L

    /** As of when its job was last known to be open: a user who was told of the job's end was told later. */
    var openAsOfUs = Long.MIN_VALUE / 2

    val isListed get() = phase != TaskPhase.PENDING

    /** Its start is not wanted any more, and no list has shown it. */
    val isUnwantedStart get() = !isListed && stopRequested

    /**
     * The stop that lets it save is to be sent. Not again before the answer that carried it would have been dropped: a second stop
     * might end the saving.
     */
    fun checkpointStopDue(now: Long) =
        checkpointLeewayUs != null && !stopRequested && phase == TaskPhase.RUNNING && now - checkpointStopSentUs > ANSWER_VALIDITY_US

    private fun underWay(now: Long) = startsInFlight > 0 || now - startAnsweredUs <= ANSWER_VALIDITY_US

    /** A machine that is commanded under [fencingToken], or has shown it, may carry out a direct order with this start that is under way. */
    fun canExecuteUnder(fencingToken: Long) = startOrderToken > 0 && fencingToken <= startOrderToken

    /**
     * The start, which no list has shown, has not happened and can't happen any more (invariants 6 and 18). [heartbeatSequence]: the latest
     * report that the machine has sent by itself in this session. A worker has one report in flight, so a later report than the one that
     * was answered with the start shows by not listing it that the answer was not taken; that time has passed shows nothing, since the
     * machine may run the task unheard. A direct order without an answer has not happened where the machine has shown a newer token than
     * the order's, [observedFencingToken], and does not list the start: from then on it refuses the order. Guards against a start that lands minutes
     * after its job was cancelled (seen by users: 73 s).
     */
    fun provenNotStarted(
        heartbeatSequence: Long,
        observedFencingToken: Long,
    ) = !isListed && startsInFlight == 0 && (startAnsweredSequence < 0 || startAnsweredSequence < heartbeatSequence) &&
        !(isStartIndeterminate && canExecuteUnder(observedFencingToken))

    /** Once cleared, a repeat of its start would do harm under [fencingToken]: one that is done and whose order was answered only exits again. */
    private fun isRepeatHarmful(fencingToken: Long) = canExecuteUnder(fencingToken) && (cause != DONE || isStartIndeterminate)

    /**
     * Whether the worker may forget this attempt (invariant 6). A repeat of an order that was carried out can come late, and would start
     * it again: one that is done only exits once more, any other would run while its task is elsewhere. Those are kept until the machine
     * has shown a newer token than the order's, as is one that is done but whose order got no answer.
     */
    fun isClearable(
        now: Long,
        observedFencingToken: Long,
    ) = !underWay(now) && !isRepeatHarmful(observedFencingToken)

    /** It waits to be cleared, and a machine that is commanded under [fencingToken] needs a newer one before it can be. */
    fun needsTokenToClear(fencingToken: Long) = phase == TaskPhase.ENDED && clearRequested && isRepeatHarmful(fencingToken)

    /** What the leader is to be told of it. */
    fun view() = TaskState(task, number, phase, cause)

    private companion object {
        const val ANSWER_VALIDITY_US = 5 * SECOND
        const val DONE = "done"
    }
}
