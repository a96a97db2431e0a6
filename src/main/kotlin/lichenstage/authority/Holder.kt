package lichenstage.authority

/**
 * The controller that holds a key, and the [term] of this ownership. [leaseId] is the process lease to which the ownership is attached, and
 * [modRevision] the revision of the ownership record.
 */
data class Holder(
    val label: String,
    val term: Long,
    val leaseId: Long,
    val modRevision: Long,
)

/** The leader and the owners of the partitions as last seen in the state service. */
data class OwnershipView(
    /** The holder of leadership; null if there is none. */
    val leader: Holder?,
    /** The owners by partition. Partitions without an owner are absent. */
    val owners: Map<String, Holder>,
)

/** The record of the term counter: the highest [term] issued, and the keys that any controller has ever owned. */
internal data class TermCounter(
    val term: Long,
    val everOwnedKeys: Collection<String>,
)
