package lichenstage.state

/** A state service with the limits of the protocol on one transaction: changes, preconditions, total size and size of a value. */
internal class LimitedStore(
    private val maxChanges: Int,
    private val maxValueBytes: Int,
    private val neverAcceptedKey: String? = null,
) : InMemoryKeyValueStore() {
    var refusals = 0
        private set

    override suspend fun get(
        key: String,
        timeoutMs: Long,
    ) = read(key)

    override suspend fun commit(
        preconditions: List<Precondition>,
        changes: List<Change>,
        timeoutMs: Long,
        isUrgent: Boolean,
    ): TransactionResult {
        val bytes = KeyValueStoreCodec.encodeTransaction(preconditions, changes).toBuffer().length()
        val largestValue = changes.maxOf { if (it is Change.Put) it.value.toBuffer().length() else 0 }
        val isValid =
            bytes <= 64 * 1024 && largestValue <= maxValueBytes && changes.size <= maxChanges && preconditions.size <= 4 * maxChanges
        if (isValid && changes.none { it.key == neverAcceptedKey }) return apply(preconditions, changes)
        refusals++
        return TransactionResult.Invalid
    }
}
