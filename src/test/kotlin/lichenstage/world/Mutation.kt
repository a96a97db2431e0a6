package lichenstage.world

/** Faults built into the simulated service on purpose, to show that the [RuleChecker] detects them. */
enum class Mutation {
    /** No mutation: the service works as designed. */
    NONE,

    /** Partitions assume that worker leases last a fifth of their real duration. */
    SHORT_LEASE,

    /** A new leader does not wait until the leases of workers without a heartbeat have expired. */
    NO_LEASE_WAIT_AFTER_FAILOVER,

    /** The leader does not limit the cores of a team. */
    TEAM_LIMIT_IGNORED,

    /** A job is recorded as done as soon as more than a third of its tasks are recorded as done. */
    JOB_COMPLETED_TOO_EARLY,

    /** Only the controller that confirms a cancellation learns of it. */
    CANCELLATION_NOT_PROPAGATED,

    /** Delayed copies of heartbeats count as the newest ones. */
    STALE_HEARTBEATS_ACCEPTED,

    /** Machines clear an ended task as soon as the leader requests it, although a repeated order may start the task again. */
    CLEARS_EXECUTED_IMMEDIATELY,

    /** Machines are given no newer fencing token after a direct order without a reply. */
    FENCING_DISABLED,

    /** Heartbeats get a reply although no newer fencing token is available against a direct order without a reply. */
    REPLIED_WITHOUT_FENCING,

    /** A new leader does not recover which tasks its predecessor has interrupted. */
    INTERRUPTIONS_NOT_RECOVERED,

    /** An interruption counts against the budget only until its task has stopped, not until the task runs again. */
    INTERRUPTIONS_ENDED_AT_STOP,

    /** The leader treats a partial frame as a final one. */
    PARTIAL_FRAMES_TREATED_AS_FINAL,

    /**
     * Replies to heartbeats renew worker leases even if the controller may have missed ended jobs. Partitions learn of ended jobs only
     * through the leader's watch of the open jobs.
     */
    LEASES_RENEWED_WITH_STALE_REPLICA,

    /** A sync reply of another controller is applied without the ended jobs in it. */
    SYNC_REPLY_JOBS_IGNORED,

    /** A controller keeps its authority after its lease has expired. */
    AUTHORITY_KEPT_AFTER_LEASE,

    /** A new leader does not recover the registered machines. */
    REGISTRY_NOT_RECOVERED,

    /** A new leader does not recover which tasks are done. */
    DONE_TASKS_NOT_RECOVERED,

    /** Jobs that are bound to one zone or spread over several are placed in any zone. */
    ZONE_CONSTRAINTS_IGNORED,

    /** The leader never adds one of the jobs. */
    JOB_NOT_ADDED,

    /** A new process replies to sync requests as if it knew the cancellations that its predecessor confirmed. */
    REPLIED_FOR_EARLIER_PROCESS,

    /** A job is placed before its dependencies are done. */
    DEPENDENCIES_IGNORED,

    /** A cancelled dependency counts as done. */
    CANCELLED_TREATED_AS_DONE,

    /** Controllers do not notice that a dependency of a job was cancelled. */
    CANCELLED_DEPENDENCIES_IGNORED,

    /** A waiting job is reported as open although the outcome of one of its ended dependencies is unknown. */
    UNRESOLVED_REPORTED_OPEN,

    /** A waiting job is reported as open by a controller that has not read the state service recently. */
    STALE_REPORTED_OPEN,
}
