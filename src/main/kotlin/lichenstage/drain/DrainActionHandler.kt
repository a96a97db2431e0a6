package lichenstage.drain

import lichenstage.state.KeyValueStore
import lichenstage.state.Precondition
import lichenstage.state.ScanResult
import lichenstage.state.SingleWriterKeys

/** Carries out the actions of drains for the leader. */
interface DrainActionHandler {
    /** Stops these tasks gracefully: with time to save a checkpoint where they can. */
    fun evict(tasks: List<RunningTask>)

    /** Provisions a machine like the one that [key] names; [DrainDriver.replacementProvisioned] is called with its name. */
    fun provisionReplacement(key: DrainKey)

    /** Terminates a machine on which no task is left. */
    fun terminate(machine: String)
}

/** How the driver reads and writes the records of drains: [scan] reads all keys with a prefix. */
class DrainRecordAccess(
    val codec: DrainRecords,
    val store: KeyValueStore,
    val owned: SingleWriterKeys,
    /** The revision of the leadership's key: nothing is written but under it. */
    val leaderGuard: List<Precondition>,
    val txnOps: Int,
    val scan: suspend (String) -> ScanResult,
)
