package lichenstage.world

/** Ways to build the service wrongly, to show that the [RuleChecker] finds them. */
enum class Mutation {
    NONE,
    SHORT_LEASE,
    EAGER_OWNER,
    IGNORED_LIMIT,
    DONE_TOO_EARLY,

    /** Nobody but the controller that confirms a cancellation learns of it. */
    CANCEL_UNHEARD,
    COPIES_BELIEVED,
    CLEARED_AT_ONCE,

    /** Nothing fences off an order without an answer. */
    UNFENCED,

    /** Heartbeats are answered although no token was at hand that would fence off an order without an answer. */
    ANSWERED_UNFENCED,

    /** A new leader does not know which tasks the one before it has interrupted. */
    INTERRUPTIONS_FORGOTTEN,

    /** The account of interruptions has each only until its task was stopped. */
    INTERRUPTIONS_DROPPED,

    /** A partial frame counts as a whole one. */
    PIECES_TAKEN_FOR_WHOLE,

    /** Answers renew leases whatever the answering controller may not have learned, and only the leader's watch reports ends. */
    ANSWERED_UNINFORMED,

    /** Another controller's reply counts, but not the ended jobs in it. */
    HANDOVER_DROPPED,

    /** A controller keeps its authority after its lease. */
    AUTHORITY_KEPT,

    /** A new leader does not know which machines its predecessor used. */
    REGISTRY_LOST,

    /** A new leader does not know what is done. */
    RANGES_LOST,

    /** Jobs that are bound to one zone, or spread, are placed anywhere. */
    ZONES_IGNORED,

    /** The leader does not add every job. */
    JOB_FORGOTTEN,

    /** A controller replies for what the process before it has confirmed. */
    SPOKEN_FOR_PREDECESSOR,

    /** A job is placed although its dependencies are not done. */
    NEEDS_IGNORED,

    /** A job that has ended counts as done, however it ended. */
    ENDS_TAKEN_FOR_DONE,

    /** Nobody finds out that a dependency of a job was cancelled. */
    CANCELLED_NEEDS_UNSEEN,

    /** A waiting job is called open although it is not known how one of its dependencies has ended. */
    UNRESOLVED_CALLED_OPEN,

    /** A waiting job is called open by a controller that has not read the state service for long. */
    STALE_CALLED_OPEN,
}
