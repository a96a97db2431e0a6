package lichenstage.authority

/**
 * The ownership of a key (leadership or a partition) by the controller [label] under the term [term]. [leaseId] is the process lease to
 * which the ownership is attached, and [modRevision] the revision of the ownership record.
 */
data class Ownership(
    val label: String,
    val term: Long,
    val leaseId: Long,
    val modRevision: Long,
)

/** The leader and the owners of the partitions as last seen in the state service. */
data class OwnershipView(
    /** The ownership of leadership; null if there is no leader. */
    val leader: Ownership?,
    /** The ownerships by partition. Partitions without an owner are absent. */
    val owners: Map<String, Ownership>,
)

/** The record of the term counter: the highest [term] issued, and the keys that any controller has ever owned. */
internal data class TermCounter(
    val term: Long,
    val everOwnedKeys: Collection<String>,
)
