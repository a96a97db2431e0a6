package lichenstage.authority

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import lichenstage.cluster.Frame
import lichenstage.cluster.MoratoriumGrant
import lichenstage.cluster.MoratoriumRequest
import lichenstage.common.Clock
import lichenstage.config.Settings
import lichenstage.state.KeyValueStoreClient

/**
 * The lease of this process and the ownerships attached to it: leadership and partitions.
 *
 * Every ownership takes a new term from a shared counter in the transaction that acquires it (invariant 1). The lease is valid from the
 * time when the last successful renewal was sent, for its duration less clock drift and a margin (invariant 2).
 *
 * While the state service is unavailable to all controllers, this process keeps its authority as long as all other controllers grant an
 * acquisition moratorium ([AcquisitionMoratorium]). Otherwise its authority is suspended. If the service returns before the lease has
 * expired, no other controller can have owned the keys.
 */
class Authority(
    private val settings: Settings,
    private val store: KeyValueStoreClient,
    clock: Clock,
    private val scope: CoroutineScope,
    send: (String, Frame) -> Unit,
    /** Returns whether another controller is reachable and receives replies from the state service. */
    isPeerHealthy: (String) -> Boolean,
    private val onChange: (OwnershipView) -> Unit,
) {
    private val table = OwnershipTable()
    private val lease = ProcessLease(store, clock, LeaseDuration.of(settings), ::notifyChange)
    private val localOwnerships = LocalOwnerships(settings.label, lease, table)
    private val acquisition = OwnershipAcquisition(settings, store, clock, lease, table, localOwnerships, isPeerHealthy, ::notifyChange)
    private val ownershipRelease = OwnershipRelease(store, table, localOwnerships, acquisition, ::notifyChange)
    private val acquisitionMoratorium = AcquisitionMoratorium(settings, clock, lease, acquisition, send)
    private val tokenReservation = FencingTokenReservation(store, table)
    private val watcher = OwnershipWatcher(store, table, ::revokePredecessors, ::notifyChange, ::onOwnershipEvents)

    /** Returns whether this process may act on its ownerships. Callers check this again right before each reply they send. */
    fun hasAuthority() = lease.isValid()

    /** Returns whether the state service has recently confirmed the lease of this process. */
    fun isStateServiceAvailable() = lease.isStateServiceAvailable()

    /** Returns the leadership of this process while the process may act on it, else null. */
    fun currentLeadership(): Ownership? = localOwnerships.currentOwnership(OwnershipRecords.LEADER_KEY)

    /** Returns this process's ownership of a partition while the process may act on it, else null. */
    fun currentPartitionOwnership(partition: String): Ownership? =
        localOwnerships.currentOwnership(OwnershipRecords.partitionKey(partition))

    /** Returns the ownership of a partition as last seen in the state service; null if the partition has no owner. */
    fun ownerOf(partition: String): Ownership? = table.ownership(OwnershipRecords.partitionKey(partition))

    /** Returns the leader and the owners of the partitions as last seen in the state service. */
    fun ownershipView(): OwnershipView {
        val owners = LinkedHashMap<String, Ownership>()
        for (partition in settings.assignment.partitions) ownerOf(partition)?.let { owners[partition] = it }
        return OwnershipView(table.ownership(OwnershipRecords.LEADER_KEY), owners)
    }

    /** Returns whether this process has authority and has read the ownership records at least once. */
    fun isReady() = table.isLoaded && hasAuthority()

    /** Starts to renew the lease, to watch the ownership records and to acquire keys that no controller owns. */
    fun start() {
        scope.launch { lease.run() }
        scope.launch { watcher.run() }
        scope.launch { acquisitionMoratorium.run() }
        scope.launch { acquisition.run() }
    }

    /** Handles another controller's request for an acquisition moratorium. */
    fun onMoratoriumRequest(
        from: String,
        request: MoratoriumRequest,
    ) = acquisitionMoratorium.onRequest(from, request)

    /** Handles another controller's grant of an acquisition moratorium. */
    fun onMoratoriumGrant(
        from: String,
        grant: MoratoriumGrant,
    ) = acquisitionMoratorium.onGrant(from, grant)

    /** Releases a partition to its home controller. Returns once the release is confirmed. */
    suspend fun releasePartition(partition: String) = ownershipRelease.release(OwnershipRecords.partitionKey(partition))

    /**
     * Reserves [count] fencing tokens above all tokens and terms issued before, for the owner of [partition] only. Returns null if none can
     * be reserved now. Unless [isUrgent], no tokens are reserved while a key has no owner, since its acquisition changes the same counter.
     */
    suspend fun reserveFencingTokens(
        partition: String,
        count: Int,
        isUrgent: Boolean,
    ): LongRange? {
        val ownership = currentPartitionOwnership(partition) ?: return null
        if (acquisition.isInProgress || (acquisition.isAnyKeyUnowned && !isUrgent)) return null
        return tokenReservation.reserve(OwnershipRecords.partitionKey(partition), ownership, count)
    }

    private fun notifyChange() = onChange(ownershipView())

    private suspend fun onOwnershipEvents() {
        notifyChange()
        acquisition.acquireUnownedKeys()
    }

    /**
     * Revokes the leases of earlier processes of this controller, so that no controller has to wait for them to expire. These processes
     * are dead, otherwise this one would not have been started.
     */
    private suspend fun revokePredecessors() {
        for (leaseId in localOwnerships.predecessorLeaseIds()) if (leaseId != lease.id) store.revokeLease(leaseId)
    }
}
