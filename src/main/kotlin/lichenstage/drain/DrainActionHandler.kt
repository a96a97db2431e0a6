package lichenstage.drain

import lichenstage.state.KeyValueStore
import lichenstage.state.Precondition
import lichenstage.state.ScanResult
import lichenstage.state.SingleWriterKeys

/** Carries out the actions of drains for the leader. */
interface DrainActionHandler {
    /** Stops these tasks gracefully: with time to save a checkpoint where they can. */
    fun evict(tasks: List<PlacedTask>)

    /** Provisions a machine like the one that [key] names; [DrainDriver.onReplacementProvisioned] is called with its name. */
    fun provisionReplacement(key: DrainKey)

    /** Terminates a machine on which no task is left. */
    fun terminate(machine: String)
}

/** How the driver reads and writes the records of drains: [scan] reads all keys with a prefix. */
class DrainRecordAccess(
    val codec: DrainRecordCodec,
    val store: KeyValueStore,
    val singleWriterKeys: SingleWriterKeys,
    /** The revision of the leadership's key: nothing is written but under it. */
    val leaderPreconditions: List<Precondition>,
    val maxTxnOps: Int,
    val scan: suspend (String) -> ScanResult,
)
