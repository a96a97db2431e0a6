package lichenstage.partition

/** Why a machine was given a newer fencing token. */
enum class FenceReason {
    /** A start that is not wanted may still be executed. */
    UNWANTED_START,

    /** Tasks that have ended can't be cleared while a repeat of their start may be executed. */
    CLEARS,
}

/** Why a partition has refused a start of its leader. */
enum class StartRefusal {
    /** The job is known to be over. */
    JOB_ENDED,

    /** No capacity is held for the start any more. */
    HOLD_EXPIRED,

    /** The machine takes no tasks at present. */
    MACHINE_UNUSABLE,
}

/** What operators need to know of orders to workers when a rule was broken; [OrderEventRecorder] logs and counts it. */
sealed interface OrderEvent {
    /** A direct order got no answer: it may be executed late. */
    data class OrderUnanswered(
        val order: DirectOrder,
    ) : OrderEvent

    /** From now on the machine is commanded under [fencingToken]. */
    data class FencingTokenRaised(
        val machine: String,
        val agentEpoch: Long,
        val fencingToken: Long,
        val reason: FenceReason,
    ) : OrderEvent

    /** It is proven that an unwanted start whose outcome was indeterminate has not been executed and can't be any more. */
    data class StartProvenNotExecuted(
        val machine: String,
        val agentEpoch: Long,
        val task: String,
        val attempt: Long,
        val observedFencingToken: Long,
    ) : OrderEvent

    /** A heartbeat first listed a start after it was no longer wanted. */
    data class UnwantedStartListed(
        val machine: String,
        val agentEpoch: Long,
        val task: String,
        val attempt: Long,
    ) : OrderEvent

    /** A start of the leader was refused; [task] is empty where its hold is not known any more. */
    data class StartRefused(
        val machine: String,
        val task: String,
        val attempt: Long,
        val reason: StartRefusal,
    ) : OrderEvent

    /** A job is known to be over: [stops] of its tasks are stopped, and [unlistedStarts] of its starts no heartbeat has listed. */
    data class JobEnded(
        val job: String,
        val stops: Int,
        val unlistedStarts: Int,
    ) : OrderEvent {
        /** The counts of both, for the same job. */
        operator fun plus(other: JobEnded) = JobEnded(job, stops + other.stops, unlistedStarts + other.unlistedStarts)
    }

    /** A heartbeat was not answered, so that the machine's lease expires in time: a start of [job] may be executed under its token. */
    data class ReplyWithheld(
        val machine: String,
        val agentEpoch: Long,
        val job: String,
    ) : OrderEvent
}
