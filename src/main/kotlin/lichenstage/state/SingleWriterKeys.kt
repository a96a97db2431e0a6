package lichenstage.state

/**
 * Writes keys that only one process writes, in the order in which it does, whatever becomes of its transactions (invariant 4).
 *
 * A transaction without an answer can be carried out seconds later, after newer ones of the same process. With the leadership as its only
 * precondition it would put back what the newer ones have replaced: a registry page without machines that run tasks by now, or done tasks
 * that the workers have forgotten. So the revision of what it replaces is a precondition of each write, and once the outcome of one is not
 * known, what it has written is read again before the next: after that the late one conflicts, or it makes the next one conflict.
 */
class SingleWriterKeys(
    private val state: KeyValueStore,
) {
    /** The revision of each key that exists. */
    private val modRevisions = HashMap<String, Long>()

    /** The keys of writes whose outcome is not known. */
    private val indeterminateKeys = HashSet<String>()

    /** Takes in the keys as they were read before anything was written here. */
    fun load(entries: List<Entry>) = entries.forEach { modRevisions[it.key] = it.modRevision }

    /** Writes [changes] in one transaction under [preconditions]; true where it is known to be committed. */
    suspend fun write(
        preconditions: List<Precondition>,
        changes: List<Change>,
        isUrgent: Boolean,
    ): Boolean {
        val keys = changes.map { it.key }
        for (key in keys) if (key in indeterminateKeys && !reread(key)) return false
        val unchanged = keys.map { Precondition(it, modRevisions[it] ?: Precondition.ABSENT) }
        val result = state.commit(preconditions + unchanged, changes, isUrgent = isUrgent)
        if (result is TransactionResult.Committed) {
            changes.forEach { if (it is Change.Put) modRevisions[it.key] = result.revision else modRevisions.remove(it.key) }
        } else if (result !is TransactionResult.Rejected) {
            indeterminateKeys += keys
        }
        return result is TransactionResult.Committed
    }

    private suspend fun reread(key: String): Boolean {
        when (val read = state.get(key)) {
            is ReadResult.Found -> modRevisions[key] = read.entry.modRevision
            ReadResult.NotFound -> modRevisions.remove(key)
            ReadResult.Unavailable -> return false
        }
        indeterminateKeys -= key
        return true
    }
}
