package lichenstage.partition

/** The decision of a partition on a worker's heartbeat. */
sealed interface HeartbeatOutcome {
    /** The heartbeat gets a reply with [commands], which the worker executes under [fencingToken]. */
    data class Accepted(
        val fencingToken: Long,
        val commands: List<Command>,
    ) : HeartbeatOutcome

    /** The heartbeat is not accepted: the worker has seen a higher token, so the partition has a newer owner. */
    data object Superseded : HeartbeatOutcome

    /** The heartbeat gets no reply: a reply would renew the lease of a machine that may still start a cancelled job (invariant 6). */
    data object Withheld : HeartbeatOutcome
}
