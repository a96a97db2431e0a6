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
 * The process's lease, and the ownerships attached to it: leadership and partitions.
 *
 * Every ownership takes a new term from one counter in the same transaction (invariant 1). The lease counts from the sending of the last
 * renewal that succeeded, less clock drift and a margin (invariant 2). While the state service answers no controller, authority goes on
 * for as long as all other controllers grant an acquisition moratorium ([AcquisitionMoratorium]), else it pauses; where the service comes
 * back before the lease has expired, no other controller can have held the keys.
 */
class Authority(
    private val settings: Settings,
    private val state: KeyValueStoreClient,
    clock: Clock,
    private val scope: CoroutineScope,
    send: (String, Frame) -> Unit,
    /** Another controller is reachable, and the state service answers it. */
    isPeerHealthy: (String) -> Boolean,
    private val onChange: (OwnershipView) -> Unit,
) {
    private val table = OwnershipTable()
    private val lease = ProcessLease(state, clock, LeaseDuration.of(settings), ::notifyChange)
    private val heldOwnerships = HeldOwnerships(settings.label, lease, table)
    private val acquisition = OwnershipAcquisition(settings, state, clock, lease, table, heldOwnerships, isPeerHealthy, ::notifyChange)
    private val release = OwnershipRelease(state, table, heldOwnerships, acquisition, ::notifyChange)
    private val moratorium = AcquisitionMoratorium(settings, clock, lease, acquisition, send)
    private val tokenReservation = FencingTokenReservation(state, table)
    private val watcher = OwnershipWatcher(state, table, ::revokePredecessors, ::notifyChange, ::onOwnershipEvents)

    /** This process may act on what it holds. To be asked again at the moment of every answer. */
    fun hasAuthority() = lease.isValid()

    /** The state service has answered this process not long ago. */
    fun isStateServiceAvailable() = lease.isStateServiceAvailable()

    /** This process's leadership while it may act on it, else null. */
    fun heldLeadership(): Holder? = heldOwnerships.currentOwnership(OwnershipRecords.LEADER_KEY)

    /** This process's ownership of a partition while it may act on it, else null. */
    fun heldPartition(partition: String): Holder? = heldOwnerships.currentOwnership(OwnershipRecords.partitionKey(partition))

    /** The owner of a partition, as last seen. */
    fun ownerOf(partition: String): Holder? = table.holder(OwnershipRecords.partitionKey(partition))

    /** The leader and the owners of the partitions, as last seen. */
    fun ownershipView(): OwnershipView {
        val owners = LinkedHashMap<String, Holder>()
        for (partition in settings.assignment.partitions) ownerOf(partition)?.let { owners[partition] = it }
        return OwnershipView(table.holder(OwnershipRecords.LEADER_KEY), owners)
    }

    /** This process has authority and has seen the ownership records at least once. */
    fun isReady() = table.isLoaded && hasAuthority()

    /** Keeps the lease, follows the ownership records and acquires what no controller holds, from now on. */
    fun start() {
        scope.launch { lease.run() }
        scope.launch { watcher.run() }
        scope.launch { moratorium.run() }
        scope.launch { acquisition.run() }
    }

    /** Another controller asks this one to acquire no key for a moment. */
    fun onMoratoriumRequest(
        from: String,
        request: MoratoriumRequest,
    ) = moratorium.onRequest(from, request)

    /** Another controller acquires no key for a moment. */
    fun onMoratoriumGrant(
        from: String,
        grant: MoratoriumGrant,
    ) = moratorium.onGrant(from, grant)

    /** Gives up a partition for the sake of its home controller; returns once that is confirmed. */
    suspend fun releasePartition(partition: String) = release.release(OwnershipRecords.partitionKey(partition))

    /**
     * [count] fencing tokens above all that were ever given out, for the owner of [partition] alone; null where none can be had now. Where
     * it is not [isUrgent], none are reserved while a key has no holder: whoever acquires it needs the same counter.
     */
    suspend fun reserveFencingTokens(
        partition: String,
        count: Int,
        isUrgent: Boolean,
    ): LongRange? {
        val ownership = heldPartition(partition) ?: return null
        if (acquisition.isInProgress || (acquisition.isAnyKeyUnowned && !isUrgent)) return null
        return tokenReservation.reserve(OwnershipRecords.partitionKey(partition), ownership, count)
    }

    private fun notifyChange() = onChange(ownershipView())

    private suspend fun onOwnershipEvents() {
        notifyChange()
        acquisition.acquireUnownedKeys()
    }

    /**
     * A process of this label that ran before is dead, or this one would not have been started: its lease is ended at
     * once so that no controller waits for it to expire.
     */
    private suspend fun revokePredecessors() {
        for (predecessor in heldOwnerships.predecessorLeases()) if (predecessor != lease.id) state.revokeLease(predecessor)
    }
}
