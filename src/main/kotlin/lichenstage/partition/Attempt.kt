package lichenstage.partition

import lichenstage.cluster.TaskPhase
import lichenstage.cluster.TaskState
import lichenstage.common.SECOND

/** One try of one task on a machine, from the leader's order until it has been cleared. Its number is unique (invariant 7). */
class Attempt(
    val task: String,
    val number: Long,
    /** When this partition first knew of it. */
    val knownUs: Long,
) {
    val job = task.substringBefore('/')
    var phase = TaskPhase.PENDING
    var cause: String? = null
    var stopWanted = false
    var clearWanted = false

    /** The leader wants it stopped with so much time to save; null where it is to run on. */
    var saveLeewayUs: Long? = null

    /** When the stop that lets it save was last sent. */
    var saveSentUs = Long.MIN_VALUE / 2

    /** Of the partition's versions, the one that last changed what the leader sees of it. */
    var version = 0L

    /** The report that listed it last. */
    var listedIn = -1L

    /** Direct orders with this start that have not been answered yet. */
    var inFlight = 0

    /** A direct order with this start got no answer: it may still be carried out, until the machine refuses its token. */
    var unclear = false

    /** When a report answer last carried this start; workers drop answers after 4 s. */
    var answeredUs = Long.MIN_VALUE / 2

    /** The last report whose answer carried this start; negative where none did. */
    var answeredSequence = -1L

    /** When a direct order last carried this start. */
    var orderedUs = Long.MIN_VALUE / 2

    /** The token of that order, 0 where there was none: unlike an answer, an order may be repeated, or carried out late. */
    var orderedToken = 0L

    /** As of when its job was last known to be open: a user who was told of the job's end was told later. */
    var openAsOfUs = Long.MIN_VALUE / 2

    val present get() = phase != TaskPhase.PENDING

    /** Its start is not wanted any more, and no list has shown it. */
    val isUnwantedStart get() = !present && stopWanted

    /**
     * The stop that lets it save is to be sent. Not again before the answer that carried it would have been dropped: a second stop
     * might end the saving.
     */
    fun saveDue(now: Long) = saveLeewayUs != null && !stopWanted && phase == TaskPhase.RUNNING && now - saveSentUs > ANSWER_LIFE_US

    private fun underWay(now: Long) = inFlight > 0 || now - answeredUs <= ANSWER_LIFE_US

    /** A machine that is commanded under [fencingToken], or has shown it, may carry out a direct order with this start that is under way. */
    fun canLandUnder(fencingToken: Long) = orderedToken > 0 && fencingToken <= orderedToken

    /**
     * The start, which no list has shown, has not happened and can't happen any more (invariants 6 and 18). [heartbeatSequence]: the latest
     * report that the machine has sent by itself in this session. A worker has one report in flight, so a later report than the one that
     * was answered with the start shows by not listing it that the answer was not taken; that time has passed shows nothing, since the
     * machine may run the task unheard. A direct order without an answer has not happened where the machine has shown a newer token than
     * the order's, [shownToken], and does not list the start: from then on it refuses the order. Guards against a start that lands minutes
     * after its job was cancelled (seen by users: 73 s).
     */
    fun neverHappened(
        heartbeatSequence: Long,
        shownToken: Long,
    ) = !present && inFlight == 0 && (answeredSequence < 0 || answeredSequence < heartbeatSequence) &&
        !(unclear && canLandUnder(shownToken))

    /** Once cleared, a repeat of its start would do harm under [fencingToken]: one that is done and whose order was answered only exits again. */
    private fun isRepeatHarmful(fencingToken: Long) = canLandUnder(fencingToken) && (cause != DONE || unclear)

    /**
     * Whether the worker may forget this attempt (invariant 6). A repeat of an order that was carried out can come late, and would start
     * it again: one that is done only exits once more, any other would run while its task is elsewhere. Those are kept until the machine
     * has shown a newer token than the order's, as is one that is done but whose order got no answer.
     */
    fun clearable(
        now: Long,
        shownToken: Long,
    ) = !underWay(now) && !isRepeatHarmful(shownToken)

    /** It waits to be cleared, and a machine that is commanded under [fencingToken] needs a newer one before it can be. */
    fun clearNeedsFence(fencingToken: Long) = phase == TaskPhase.ENDED && clearWanted && isRepeatHarmful(fencingToken)

    /** What the leader is to be told of it. */
    fun view() = TaskState(task, number, phase, cause)

    private companion object {
        const val ANSWER_LIFE_US = 5 * SECOND
        const val DONE = "done"
    }
}
