package lichenstage.partition

/** Why a machine was given a newer fencing token. */
enum class FenceReason {
    /** The machine may still execute a start that is no longer wanted. */
    UNWANTED_START,

    /** Ended tasks wait to be cleared, which is not possible while a repeated order may start them again. */
    CLEARS,
}

/** Why a partition refused a start that the leader requested. */
enum class StartRefusal {
    /** The job has ended. */
    JOB_ENDED,

    /** The machine has no capacity held for the request: the hold has expired, was used up or was released. */
    HOLD_EXPIRED,

    /** The machine accepts no tasks at present. */
    MACHINE_UNUSABLE,
}

/**
 * An event in the handling of commands to workers. The events let operators reconstruct how a scheduling rule was broken;
 * [OrderEventRecorder] logs and counts them.
 */
sealed interface OrderEvent {
    /** A direct order got no reply, so the worker may execute it late. */
    data class OrderUnanswered(
        val order: DirectOrder,
    ) : OrderEvent

    /** A machine was given the newer [fencingToken], which all later replies and orders to the machine carry. */
    data class FencingTokenRaised(
        val machine: String,
        val agentEpoch: Long,
        val fencingToken: Long,
        val reason: FenceReason,
    ) : OrderEvent

    /** An unwanted start with an indeterminate outcome is proven not to have been executed, and the machine will refuse it from now on. */
    data class StartProvenNotExecuted(
        val machine: String,
        val agentEpoch: Long,
        val taskId: String,
        val attemptNumber: Long,
        val observedFencingToken: Long,
    ) : OrderEvent

    /** A heartbeat lists, for the first time, an attempt whose start is no longer wanted. */
    data class UnwantedStartListed(
        val machine: String,
        val agentEpoch: Long,
        val taskId: String,
        val attemptNumber: Long,
    ) : OrderEvent

    /** The partition refused a start that the leader requested. [taskId] is empty if the hold of the start no longer exists. */
    data class StartRefused(
        val machine: String,
        val taskId: String,
        val attemptNumber: Long,
        val reason: StartRefusal,
    ) : OrderEvent

    /**
     * The partition stops the tasks of a job that has ended.
     *
     * @property stops the number of stopped attempts that heartbeats have listed
     * @property unlistedStarts the number of stopped attempts that no heartbeat has listed
     */
    data class JobEnded(
        val job: String,
        val stops: Int,
        val unlistedStarts: Int,
    ) : OrderEvent {
        /** Adds the counts of [other], an event of the same job. */
        operator fun plus(other: JobEnded) = JobEnded(job, stops + other.stops, unlistedStarts + other.unlistedStarts)
    }

    /**
     * The partition did not reply to a heartbeat, so that the machine's lease expires in time. The machine may still execute a start of the
     * ended [job] under its fencing token.
     */
    data class ReplyWithheld(
        val machine: String,
        val agentEpoch: Long,
        val job: String,
    ) : OrderEvent
}
