package lichenstage.placement

import kotlinx.coroutines.delay
import lichenstage.jobs.JobRecordCodec
import lichenstage.state.KeyValueStoreClient
import lichenstage.state.ScanResult
import lichenstage.state.WatchResult

/** Reads the records that a term of leadership begins with, and follows the open jobs from there. */
internal class LeaderRecordReader(
    private val state: KeyValueStoreClient,
    private val tell: (LeaderMessage) -> Unit,
) {
    /** Runs until it is cancelled. */
    suspend fun run() {
        // The order does not matter, since a task starts only after all is loaded.
        val machines = scan(MACHINES)
        val jobs = scan(JobRecordCodec.OPEN_PREFIX)
        val done = scan(JobRecordCodec.DONE_TASKS_PREFIX)
        tell(LeaderMessage.RecordsLoaded(jobs.entries, done.entries, machines.entries))
        follow(jobs.revision)
    }

    private suspend fun follow(from: Long) {
        var since = from
        while (true) {
            when (val seen = state.watch(JobRecordCodec.OPEN_PREFIX, since, WATCH_MS)) {
                is WatchResult.Events -> {
                    since = seen.revision
                    // A job whose record was put and deleted in one batch has ended: of the two changes of a key the delete is the later.
                    val removed = seen.deletes.map { it.key }
                    if (seen.puts.isNotEmpty() || removed.isNotEmpty()) tell(LeaderMessage.OpenJobsChanged(seen.puts, removed))
                }

                WatchResult.Compacted -> {
                    val again = scan(JobRecordCodec.OPEN_PREFIX)
                    since = again.revision
                    tell(LeaderMessage.OpenJobsReloaded(again.entries))
                }

                WatchResult.Unavailable -> {
                    delay(UNAVAILABLE_MS)
                }
            }
        }
    }

    /** Reads all keys with a prefix; retries until the key-value store answers. */
    private suspend fun scan(prefix: String): ScanResult.Complete {
        while (true) {
            val result = state.scan(prefix)
            if (result is ScanResult.Complete) return result
            delay(RETRY_MS)
        }
    }

    private companion object {
        const val MACHINES = "m/"
        const val WATCH_MS = 8000L
        const val UNAVAILABLE_MS = 250L
        const val RETRY_MS = 300L
    }
}
