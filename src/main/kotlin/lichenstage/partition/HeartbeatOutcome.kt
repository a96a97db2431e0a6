package lichenstage.partition

/** What a partition decides about a worker's heartbeat. */
sealed interface HeartbeatOutcome {
    /** It is answered under [fencingToken], with [commands]. */
    data class Accepted(
        val fencingToken: Long,
        val commands: List<Command>,
    ) : HeartbeatOutcome

    /** The worker has seen a higher token: the partition has a newer owner. */
    data object Superseded : HeartbeatOutcome

    /** An answer would renew the lease of a machine that may still execute a start of a cancelled job (invariant 6). */
    data object Withheld : HeartbeatOutcome
}
