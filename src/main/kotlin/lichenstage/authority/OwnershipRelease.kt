package lichenstage.authority

import kotlinx.coroutines.delay
import lichenstage.common.SECOND
import lichenstage.state.Change
import lichenstage.state.KeyValueStore
import lichenstage.state.Precondition
import lichenstage.state.TransactionResult
import org.slf4j.LoggerFactory

/**
 * The release of partitions to their home controllers once these are healthy again. A home controller is in the zone of its partition, so
 * it reaches the workers there even when the zone is cut off.
 */
internal class OwnershipRelease(
    private val store: KeyValueStore,
    private val table: OwnershipTable,
    private val localOwnerships: LocalOwnerships,
    private val acquisition: OwnershipAcquisition,
    private val onChange: () -> Unit,
) {
    private val log = LoggerFactory.getLogger("lichenstage.authority")

    /**
     * Releases the ownership of [key] if this process has had it for at least [MIN_OWNERSHIP_DURATION_US].
     *
     * The process gives up its authority before it sends the delete and does not regain it, whatever the outcome of the delete is
     * (invariant 2). A reply to a worker after the new owner has started would extend a lease that the new owner treats as expired. A
     * delete that is not known to be committed is sent again until the key is gone, otherwise the partition would have no owner.
     */
    suspend fun release(key: String) {
        val ownership = localOwnerships.currentOwnership(key) ?: return
        // A home controller can seem healthy and still not acquire the partition. This limits how often the partition then changes owners.
        if (acquisition.ownershipDurationUs(key) < MIN_OWNERSHIP_DURATION_US) return
        localOwnerships.relinquish(ownership)
        onChange()
        val unchanged = listOf(Precondition(key, ownership.modRevision))
        while (table.modRevision(key) == ownership.modRevision) {
            if (store.commit(unchanged, listOf(Change.Delete(key))) is TransactionResult.Committed) {
                if (table.modRevision(key) == ownership.modRevision) table.remove(key, ownership.modRevision + 1)
            } else {
                delay(RETRY_MS)
            }
        }
        log.info("Ownership released to home controller key={}", key)
        // Gives the home controller time to acquire the key first.
        acquisition.defer(key, HOME_FIRST_DELAY_US)
        onChange()
    }

    private companion object {
        const val MIN_OWNERSHIP_DURATION_US = 12 * SECOND
        const val HOME_FIRST_DELAY_US = 3 * SECOND
        const val RETRY_MS = 300L
    }
}
