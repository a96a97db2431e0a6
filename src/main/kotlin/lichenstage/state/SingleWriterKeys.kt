package lichenstage.state

/**
 * Writes keys that only one process writes, in the order in which it does, whatever becomes of its transactions.
 *
 * A transaction without an answer can be carried out seconds later, after newer ones of the same process. Guarded by its leadership
 * alone it would put back what the newer ones have replaced: a registry page without machines that run tasks by now, or done tasks
 * that the workers have forgotten. So each write is guarded by the revision of what it replaces, and once the outcome of one is not
 * known, what it has written is read again before the next: after that the late one is refused, or it makes the next one be.
 */
class SingleWriterKeys(
    private val state: KeyValueStore,
) {
    /** The revision of each key that is there. */
    private val stamps = HashMap<String, Long>()
    private val unsure = HashSet<String>()

    /** As read before anything was written here. */
    fun read(entries: List<Entry>) = entries.forEach { stamps[it.key] = it.stamp }

    /** One transaction, under [guards] besides; true where it is known to be carried out. */
    suspend fun write(
        guards: Map<String, Long>,
        changes: List<Change>,
        urgent: Boolean,
    ): Boolean {
        val keys = changes.map { it.key }
        for (key in keys) if (key in unsure && !reread(key)) return false
        val outcome = state.txn(guards + keys.associateWith { stamps[it] ?: 0L }, changes, urgent = urgent)
        if (outcome is TransactionResult.Committed) {
            changes.forEach { if (it is Change.Put) stamps[it.key] = outcome.revision else stamps.remove(it.key) }
        } else if (outcome !is TransactionResult.Rejected) {
            unsure += keys
        }
        return outcome is TransactionResult.Committed
    }

    private suspend fun reread(key: String): Boolean {
        when (val found = state.get(key)) {
            is ReadResult.Found -> stamps[key] = found.entry.stamp
            ReadResult.NotFound -> stamps.remove(key)
            ReadResult.Unavailable -> return false
        }
        unsure -= key
        return true
    }
}
