package lichenstage.authority

/** The ownerships of the controller [label] that are attached to the lease of this process and that this process has not given up. */
internal class HeldOwnerships(
    private val label: String,
    private val lease: ProcessLease,
    private val table: OwnershipTable,
) {
    /** The revisions of the ownership records that this process has given up. */
    private val relinquishedRevisions = HashSet<Long>()

    /** The number of keys that this controller holds according to the records in the state service. */
    val recordedKeyCount: Int get() = table.currentHolders.count { it.label == label }

    /** Returns this process's ownership of [key] while the process may act on it, else null. */
    fun currentOwnership(key: String): Holder? =
        table.holder(key)?.takeIf {
            it.label == label && it.leaseId == lease.id && it.modRevision !in relinquishedRevisions &&
                lease.isValid()
        }

    /** Gives up the ownership: this process no longer acts on it, even while its record still exists. */
    fun relinquish(ownership: Holder) {
        relinquishedRevisions += ownership.modRevision
    }

    /** Returns the leases under which this controller holds keys. Before this process acquires a key, these belong to earlier processes. */
    fun predecessorLeaseIds(): List<Long> =
        table.currentHolders
            .filter { it.label == label }
            .map { it.leaseId }
            .distinct()
}
