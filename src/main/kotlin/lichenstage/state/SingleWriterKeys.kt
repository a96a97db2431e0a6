package lichenstage.state

/**
 * A writer of keys that only one process writes. Its writes take effect in order, whatever the outcome of each transaction (invariant 4).
 *
 * A transaction with an unknown outcome can be applied seconds later, after newer transactions of the same process. With the leadership as
 * its only precondition, it would overwrite newer values with older ones: a registry chunk would lack machines that now run tasks, or a
 * completion chunk would lack done tasks that the workers have already cleared.
 *
 * So each write has the last known revision of each of its keys as a precondition. If the outcome of a write is unknown, or the write
 * conflicts, its keys are read again before their next write. After that, either the delayed write conflicts, or it is applied first and
 * makes the next write conflict.
 */
class SingleWriterKeys(
    private val store: KeyValueStore,
    private val limits: TransactionLimits,
) {
    /** The revision of each key that exists. */
    private val modRevisions = HashMap<String, Long>()

    /** The keys of writes that failed with an unknown outcome or a conflict, so that their revisions may be outdated. */
    private val keysToReread = HashSet<String>()

    /** Sets the revisions of existing keys, read before the first [write]. */
    fun load(entries: List<Entry>) = entries.forEach { modRevisions[it.key] = it.modRevision }

    /**
     * Writes [changes] under [preconditions], in as many transactions as the limits of the state service require. Stops at the first
     * transaction that is not known to be committed.
     */
    suspend fun write(
        preconditions: List<Precondition>,
        changes: List<Change>,
        isUrgent: Boolean,
    ): WriteOutcome {
        for (batch in limits.split(changes)) {
            val outcome = writeBatch(preconditions, batch, isUrgent)
            if (outcome != WriteOutcome.COMMITTED) return outcome
        }
        return WriteOutcome.COMMITTED
    }

    private suspend fun writeBatch(
        preconditions: List<Precondition>,
        changes: List<Change>,
        isUrgent: Boolean,
    ): WriteOutcome {
        val keys = changes.map { it.key }
        for (key in keys) if (key in keysToReread && !reread(key)) return WriteOutcome.FAILED
        val unchanged = keys.map { Precondition(it, modRevisions[it] ?: Precondition.ABSENT) }
        val result = store.commit(preconditions + unchanged, changes, isUrgent = isUrgent)
        when (result) {
            is TransactionResult.Committed -> {
                changes.forEach { if (it is Change.Put) modRevisions[it.key] = result.revision else modRevisions.remove(it.key) }
                return WriteOutcome.COMMITTED
            }

            TransactionResult.Invalid -> {
                return WriteOutcome.INVALID
            }

            TransactionResult.Rejected -> {
                Unit
            }

            is TransactionResult.Conflict, TransactionResult.LeaseExpired, TransactionResult.Indeterminate -> {
                keysToReread += keys
            }
        }
        return WriteOutcome.FAILED
    }

    private suspend fun reread(key: String): Boolean {
        when (val read = store.get(key)) {
            is ReadResult.Found -> modRevisions[key] = read.entry.modRevision
            ReadResult.NotFound -> modRevisions.remove(key)
            ReadResult.Unavailable -> return false
        }
        keysToReread -= key
        return true
    }
}
