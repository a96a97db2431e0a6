package lichenstage.world

/** Ways to build the service wrongly, to show that the [RuleChecker] finds them. */
enum class Mutation {
    NONE,
    SHORT_LEASE,
    NO_LEASE_WAIT_AFTER_FAILOVER,
    TEAM_LIMIT_IGNORED,
    JOB_COMPLETED_TOO_EARLY,

    /** Nobody but the controller that confirms a cancellation learns of it. */
    CANCELLATION_NOT_PROPAGATED,
    STALE_HEARTBEATS_ACCEPTED,
    CLEARS_EXECUTED_IMMEDIATELY,

    /** Nothing fences off an order without an answer. */
    FENCING_DISABLED,

    /** Heartbeats are answered although no token was at hand that would fence off an order without an answer. */
    REPLIED_WITHOUT_FENCING,

    /** A new leader does not know which tasks the one before it has interrupted. */
    INTERRUPTIONS_NOT_RECOVERED,

    /** The account of interruptions has each only until its task was stopped. */
    INTERRUPTIONS_ENDED_AT_STOP,

    /** A partial frame counts as a whole one. */
    PARTIAL_FRAMES_TREATED_AS_FINAL,

    /** Answers renew leases whatever the answering controller may not have learned, and only the leader's watch reports ends. */
    LEASES_RENEWED_WITH_STALE_REPLICA,

    /** Another controller's reply counts, but not the ended jobs in it. */
    SYNC_REPLY_JOBS_IGNORED,

    /** A controller keeps its authority after its lease. */
    AUTHORITY_KEPT_AFTER_LEASE,

    /** A new leader does not know which machines its predecessor used. */
    REGISTRY_NOT_RECOVERED,

    /** A new leader does not know what is done. */
    DONE_TASKS_NOT_RECOVERED,

    /** Jobs that are bound to one zone, or spread, are placed anywhere. */
    ZONE_CONSTRAINTS_IGNORED,

    /** The leader does not add every job. */
    JOB_NOT_ADDED,

    /** A controller replies for what the process before it has confirmed. */
    REPLIED_FOR_EARLIER_PROCESS,

    /** A job is placed although its dependencies are not done. */
    DEPENDENCIES_IGNORED,

    /** A job that has ended counts as done, however it ended. */
    CANCELLED_TREATED_AS_DONE,

    /** Nobody finds out that a dependency of a job was cancelled. */
    CANCELLED_DEPENDENCIES_IGNORED,

    /** A waiting job is called open although it is not known how one of its dependencies has ended. */
    UNRESOLVED_REPORTED_OPEN,

    /** A waiting job is called open by a controller that has not read the state service for long. */
    STALE_REPORTED_OPEN,
}
