package lichenstage.partition

/** Why a machine was given a newer token. */
enum class FenceReason {
    /** A start that is not wanted may still land. */
    UNWANTED_START,

    /** Tasks that have ended can't be cleared while a repeat of their start may land. */
    CLEARS,
}

/** Why a partition has refused a start of its leader. */
enum class StartRefusal { JOB_ENDED, HOLD_EXPIRED, MACHINE_UNUSABLE }

/** What an operator needs to see of orders to workers when a rule was broken. */
sealed interface OrderEvent {
    /** A direct order got no answer: it may be carried out late. */
    data class Unanswered(
        val order: DirectOrder,
    ) : OrderEvent

    /** From now on the machine is commanded under [fencingToken]. */
    data class FencingTokenRaised(
        val machine: String,
        val agentEpoch: Long,
        val fencingToken: Long,
        val reason: FenceReason,
    ) : OrderEvent

    /** It is proven that a start that is not wanted never happened. */
    data class StartDisproven(
        val machine: String,
        val agentEpoch: Long,
        val task: String,
        val attempt: Long,
        val observedFencingToken: Long,
    ) : OrderEvent

    /** A start has landed after it was no longer wanted. */
    data class LateStart(
        val machine: String,
        val agentEpoch: Long,
        val task: String,
        val attempt: Long,
    ) : OrderEvent

    /** A start of the leader was refused. */
    data class StartRefused(
        val machine: String,
        val task: String,
        val attempt: Long,
        val refusal: StartRefusal,
    ) : OrderEvent

    /** A job is known to be over: [stops] of its tasks are stopped, and the starts of [underWay] are not known to have landed. */
    data class JobEnded(
        val job: String,
        val stops: Int,
        val underWay: Int,
    ) : OrderEvent {
        /** The same job's tasks counted together. */
        operator fun plus(other: JobEnded) = JobEnded(job, stops + other.stops, underWay + other.underWay)
    }

    /** A report was not answered, so that the machine's lease ends in time: a start of this job may land under its token. */
    data class AnswerWithheld(
        val machine: String,
        val agentEpoch: Long,
        val job: String,
    ) : OrderEvent
}
