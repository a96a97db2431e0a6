package lichenstage.authority

/** The controller that holds a key, with the term and the process lease. [modRevision] is the revision of the ownership record. */
data class Holder(
    val label: String,
    val term: Long,
    val lease: Long,
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
