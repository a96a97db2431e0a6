package lichenstage.authority

/** The controller that holds a key, under which term and process lease; [modRevision] is the revision of the ownership record. */
data class Holder(
    val label: String,
    val term: Long,
    val lease: Long,
    val modRevision: Long,
)

/** The leader and the owners of the partitions, as last seen in the state service. */
data class OwnershipView(
    val leader: Holder?,
    /** Owners by partition; partitions without an owner are missing. */
    val owners: Map<String, Holder>,
)

/** The counter of all terms with its new value [term], and the keys that any controller has ever owned. */
internal data class TermCounter(
    val term: Long,
    val everOwnedKeys: Collection<String>,
)
