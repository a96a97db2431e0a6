package lichenstage.authority

/** What this process, the controller [label], holds: the ownerships attached to its lease that it has not given up. */
internal class HeldOwnerships(
    private val label: String,
    private val lease: ProcessLease,
    private val table: OwnershipTable,
) {
    /** Revisions of the ownerships that this process has given up. */
    private val relinquished = HashSet<Long>()

    /** How many keys the state service says that this controller holds. */
    val recordedKeyCount: Int get() = table.currentHolders.count { it.label == label }

    /** This process's ownership of [key] while it may act on it, else null. */
    fun currentOwnership(key: String): Holder? =
        table.holder(key)?.takeIf { it.label == label && it.lease == lease.id && it.modRevision !in relinquished && lease.isValid() }

    /** This process acts on the ownership no more, whether or not its record is still there. */
    fun relinquish(ownership: Holder) {
        relinquished += ownership.modRevision
    }

    /** The leases of earlier processes of this controller that still hold keys. */
    fun predecessorLeases(): List<Long> =
        table.currentHolders
            .filter { it.label == label }
            .map { it.lease }
            .distinct()
}
