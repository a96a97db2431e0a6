package lichenstage.state

/** The outcome of reading one key. */
sealed interface ReadResult {
    /** The key exists. */
    data class Found(
        val entry: Entry,
    ) : ReadResult

    /** The key does not exist. */
    data object NotFound : ReadResult

    /** The service gave no usable reply. */
    data object Unavailable : ReadResult
}

/** The outcome of reading all keys with a prefix. */
sealed interface ScanResult {
    /** All keys with the prefix. A watch from [revision] on misses no change. */
    data class Complete(
        val entries: List<Entry>,
        val revision: Long,
    ) : ScanResult

    /** The service gave no usable reply for at least one page. */
    data object Unavailable : ScanResult
}

/** The outcome of one request for the changes to keys with a prefix. */
sealed interface WatchResult {
    /** All changes up to [revision]. Entries in [deletes] have an empty value and the revision of the deletion. */
    data class Events(
        val revision: Long,
        val puts: List<Entry>,
        val deletes: List<Entry>,
    ) : WatchResult

    /** The service has discarded changes after the requested revision, so the keys must be scanned again. */
    data object Compacted : WatchResult

    /** The service gave no usable reply. */
    data object Unavailable : WatchResult
}
