package lichenstage.placement

import kotlinx.coroutines.delay
import lichenstage.jobs.JobRecordCodec
import lichenstage.state.KeyValueStoreClient
import lichenstage.state.ScanResult
import lichenstage.state.WatchResult

/** Reads the records at the start of a term of leadership, and then watches the open jobs. */
internal class LeaderRecordReader(
    private val store: KeyValueStoreClient,
    private val tell: (LeaderMessage) -> Unit,
) {
    /** Reads the records, then watches the open jobs until it is cancelled. */
    suspend fun run() {
        // The order of the scans does not matter, because a task starts only after all records are loaded.
        val registryChunks = scan(REGISTRY_PREFIX)
        val openJobs = scan(JobRecordCodec.OPEN_PREFIX)
        val completionChunks = scan(JobRecordCodec.DONE_TASKS_PREFIX)
        tell(LeaderMessage.RecordsLoaded(openJobs.entries, completionChunks.entries, registryChunks.entries))
        watchOpenJobs(openJobs.revision)
    }

    private suspend fun watchOpenJobs(startRevision: Long) {
        var revision = startRevision
        while (true) {
            when (val result = store.watch(JobRecordCodec.OPEN_PREFIX, revision, WATCH_TIMEOUT_MS)) {
                is WatchResult.Events -> {
                    revision = result.revision
                    // If one batch puts and deletes the same key, the delete is the later change: the job is finished.
                    val removedKeys = result.deletes.map { it.key }
                    if (result.puts.isNotEmpty() || removedKeys.isNotEmpty()) tell(LeaderMessage.OpenJobsChanged(result.puts, removedKeys))
                }

                WatchResult.Compacted -> {
                    val reloaded = scan(JobRecordCodec.OPEN_PREFIX)
                    revision = reloaded.revision
                    tell(LeaderMessage.OpenJobsReloaded(reloaded.entries))
                }

                WatchResult.Unavailable -> {
                    delay(UNAVAILABLE_RETRY_MS)
                }
            }
        }
    }

    /** Reads all keys with a prefix. Retries until the key-value store replies. */
    private suspend fun scan(prefix: String): ScanResult.Complete {
        while (true) {
            val result = store.scan(prefix)
            if (result is ScanResult.Complete) return result
            delay(SCAN_RETRY_MS)
        }
    }

    private companion object {
        const val REGISTRY_PREFIX = "m/"
        const val WATCH_TIMEOUT_MS = 8000L
        const val UNAVAILABLE_RETRY_MS = 250L
        const val SCAN_RETRY_MS = 300L
    }
}
