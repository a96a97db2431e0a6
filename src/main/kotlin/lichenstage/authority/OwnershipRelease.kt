package lichenstage.authority

import kotlinx.coroutines.delay
import lichenstage.common.SECOND
import lichenstage.state.Change
import lichenstage.state.KeyValueStore
import lichenstage.state.Precondition
import lichenstage.state.TransactionResult
import org.slf4j.LoggerFactory

/** Gives up partitions whose home controller is healthy again: in its zone it reaches the workers even when the zone is cut off. */
internal class OwnershipRelease(
    private val state: KeyValueStore,
    private val table: OwnershipTable,
    private val heldOwnerships: HeldOwnerships,
    private val acquisition: OwnershipAcquisition,
    private val onChange: () -> Unit,
) {
    private val log = LoggerFactory.getLogger("lichenstage.authority")

    /**
     * Gives up the ownership of [key], if this process has held it for a while.
     *
     * Authority ends here before the delete is sent, and does not come back whatever becomes of it (invariant 2): an answer
     * to a worker after the new owner has begun would extend a lease that the new owner counts as expired. A delete without
     * an answer is sent again until the key is gone, or the partition would have no owner.
     */
    suspend fun release(key: String) {
        val ownership = heldOwnerships.currentOwnership(key) ?: return
        // If its home controller does not acquire it although it seems healthy, the partition must not change owners again and again.
        if (acquisition.heldDurationUs(key) < MIN_HELD_DURATION_US) return
        heldOwnerships.relinquish(ownership)
        onChange()
        val unchanged = listOf(Precondition(key, ownership.modRevision))
        while (table.modRevision(key) == ownership.modRevision) {
            if (state.commit(unchanged, listOf(Change.Delete(key))) is TransactionResult.Committed) {
                if (table.modRevision(key) == ownership.modRevision) table.remove(key, ownership.modRevision + 1)
            } else {
                delay(RETRY_MS)
            }
        }
        log.info("Ownership released to home controller key={}", key)
        // The home controller acquires it at once; this one would only after a while.
        acquisition.defer(key, HOME_FIRST_DELAY_US)
        onChange()
    }

    private companion object {
        const val MIN_HELD_DURATION_US = 12 * SECOND
        const val HOME_FIRST_DELAY_US = 3 * SECOND
        const val RETRY_MS = 300L
    }
}
