package lichenstage.partition

/** The decision of a partition on a worker's heartbeat. */
sealed interface HeartbeatOutcome {
    /** The heartbeat is accepted. The reply carries [commands], which the worker executes under [fencingToken]. */
    data class Accepted(
        val fencingToken: Long,
        val commands: List<Command>,
    ) : HeartbeatOutcome

    /** The heartbeat is not accepted: the worker has seen a higher token, so the partition has a newer owner. */
    data object Superseded : HeartbeatOutcome

    /**
     * The heartbeat is not accepted: accepting it would renew the lease of a machine that may still execute a start of an ended job
     * (invariant 6).
     */
    data object Withheld : HeartbeatOutcome
}
