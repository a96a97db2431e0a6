package lichenstage.authority

import kotlinx.coroutines.delay
import lichenstage.state.KeyValueStoreClient
import lichenstage.state.ScanResult
import lichenstage.state.WatchResult

/**
 * The watcher that keeps the [OwnershipTable] up to date, with a scan followed by watches from the revision of the scan.
 *
 * [onFirstScan] runs before the table is marked as loaded, [onScan] after each scan, and [onEvents] after each watch that returned changes.
 */
internal class OwnershipWatcher(
    private val store: KeyValueStoreClient,
    private val table: OwnershipTable,
    private val onFirstScan: suspend () -> Unit,
    private val onScan: () -> Unit,
    private val onEvents: suspend () -> Unit,
) {
    /** Scans and watches the records until cancelled. */
    suspend fun run() {
        while (true) {
            val scan = store.scan(OwnershipRecords.KEY_PREFIX)
            if (scan !is ScanResult.Complete) {
                delay(SCAN_RETRY_MS)
                continue
            }
            table.applyScan(scan.entries, scan.revision)
            if (!table.isLoaded) onFirstScan()
            table.isLoaded = true
            onScan()
            follow(scan.revision)
        }
    }

    /** Applies the changes after [scanRevision] until the records have to be scanned again. */
    private suspend fun follow(scanRevision: Long) {
        var revision = scanRevision
        while (true) {
            when (val result = store.watch(OwnershipRecords.KEY_PREFIX, revision, WATCH_MS)) {
                is WatchResult.Events -> {
                    revision = result.revision
                    table.applyChanges(result.puts, result.deletes)
                    if (result.puts.isNotEmpty() || result.deletes.isNotEmpty()) onEvents()
                }

                WatchResult.Compacted -> {
                    return
                }

                WatchResult.Unavailable -> {
                    delay(WATCH_RETRY_MS)
                }
            }
        }
    }

    private companion object {
        const val WATCH_MS = 10_000L
        const val SCAN_RETRY_MS = 300L
        const val WATCH_RETRY_MS = 250L
    }
}
