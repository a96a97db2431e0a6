package lichenstage.state

/** An in-memory state service with keys, preconditions and revisions as in the protocol. Each test adds the failures that it needs. */
internal abstract class InMemoryKeyValueStore : KeyValueStore {
    val entries = HashMap<String, Entry>()
    var revision = 0L
        private set

    fun read(key: String): ReadResult = entries[key]?.let { ReadResult.Found(it) } ?: ReadResult.NotFound

    fun apply(
        preconditions: List<Precondition>,
        changes: List<Change>,
    ): TransactionResult {
        val failed = preconditions.filter { (entries[it.key]?.modRevision ?: Precondition.ABSENT) != it.modRevision }.map { it.key }
        if (failed.isNotEmpty()) return TransactionResult.Conflict(failed)
        revision++
        for (change in changes) {
            when (change) {
                is Change.Put -> entries[change.key] = Entry(change.key, change.value, revision)
                is Change.Delete -> entries.remove(change.key)
            }
        }
        return TransactionResult.Committed(revision)
    }
}
