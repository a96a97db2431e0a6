package lichenstage.drain

import lichenstage.state.KeyValueStore
import lichenstage.state.Precondition
import lichenstage.state.ScanResult
import lichenstage.state.SingleWriterKeys

/** Executes the actions of drains on behalf of the leader. */
interface DrainActionHandler {
    /** Stops [tasks] gracefully. Tasks that can save a checkpoint get time to do so. */
    fun evict(tasks: List<PlacedTask>)

    /** Provisions a machine like [DrainKey.machine] of [key] and passes its name to [DrainDriver.onReplacementProvisioned]. */
    fun provisionReplacement(key: DrainKey)

    /** Terminates [machine], which is an empty drained machine or a failed replacement. */
    fun terminate(machine: String)
}

/** The access of [DrainDriver] to the records of drains. [scan] reads all keys with a prefix. */
class DrainRecordAccess(
    val codec: DrainRecordCodec,
    val store: KeyValueStore,
    val singleWriterKeys: SingleWriterKeys,
    /** Preconditions of every write. They fail once the leader's key no longer has the revision of this leader. */
    val leaderPreconditions: List<Precondition>,
    val scan: suspend (String) -> ScanResult,
)
