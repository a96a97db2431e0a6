package lichenstage.authority

/** The ownerships of the controller [label] that are attached to the lease of this process and that this process has not given up. */
internal class LocalOwnerships(
    private val label: String,
    private val lease: ProcessLease,
    private val table: OwnershipTable,
) {
    /** The revisions of the ownership records that this process has given up. */
    private val relinquishedRevisions = HashSet<Long>()

    /** The number of keys that this controller owns according to the records in the state service. */
    val recordedKeyCount: Int get() = table.currentOwnerships.count { it.label == label }

    /** Returns this process's ownership of [key] while the process may act on it, else null. */
    fun currentOwnership(key: String): Ownership? =
        table.ownership(key)?.takeIf {
            it.label == label && it.leaseId == lease.id && it.modRevision !in relinquishedRevisions &&
                lease.isValid()
        }

    /** Gives up the ownership: this process no longer acts on it, even while its record still exists. */
    fun relinquish(ownership: Ownership) {
        relinquishedRevisions += ownership.modRevision
    }

    /**
     * Returns the leases to which this controller's ownerships are attached. Before this process acquires its first key, all of them are
     * leases of earlier processes.
     */
    fun predecessorLeaseIds(): List<Long> =
        table.currentOwnerships
            .filter { it.label == label }
            .map { it.leaseId }
            .distinct()
}
