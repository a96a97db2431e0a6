package lichenstage.state

/**
 * The limits of the state service on one transaction. The service refuses a transaction that exceeds any of them, however often it is
 * repeated.
 *
 * @property maxChanges the maximum number of changes
 * @property maxBytes the maximum size of the request, in bytes
 */
data class TransactionLimits(
    val maxChanges: Int,
    val maxBytes: Int = MAX_BYTES,
) {
    /** The maximum number of preconditions, which also fit if their keys have the maximum length. */
    val maxPreconditions get() = minOf(maxChanges * PRECONDITIONS_PER_CHANGE, maxChangeBytes / MAX_PRECONDITION_BYTES)

    /** The maximum size of the changes of one transaction and of one precondition for each changed key, in bytes. */
    private val maxChangeBytes get() = maxBytes - RESERVED_BYTES

    /** The maximum size of one value, so that a transaction with this value alone is within the limits, in bytes. */
    val maxValueBytes get() = maxChangeBytes - KEY_BYTES

    /**
     * Returns the first of [items] whose changes fit into one transaction, together with a precondition for each changed key. Returns at
     * least one item if there are any.
     */
    fun <T> takeFitting(
        items: Iterable<T>,
        changeOf: (T) -> Change,
    ): List<T> {
        val fitting = ArrayList<T>()
        var bytes = 0
        for (item in items) {
            if (fitting.size >= maxChanges) break
            bytes += KeyValueStoreCodec.maxEncodedBytes(changeOf(item))
            if (bytes > maxChangeBytes && fitting.isNotEmpty()) break
            fitting += item
        }
        return fitting
    }

    /** Splits [changes] into lists that each fit into one transaction, in the same order. */
    fun split(changes: List<Change>): List<List<Change>> {
        val batches = ArrayList<List<Change>>()
        var remaining = changes
        while (remaining.isNotEmpty()) {
            val batch = takeFitting(remaining) { it }
            batches += batch
            remaining = remaining.subList(batch.size, remaining.size)
        }
        return batches
    }

    private companion object {
        const val MAX_BYTES = 64 * 1024

        const val PRECONDITIONS_PER_CHANGE = 4

        /** The size of a precondition whose key has the maximum length of 200 bytes. */
        const val MAX_PRECONDITION_BYTES = 256

        /** The size of a change and its precondition without the value. Keys take at most 200 bytes and occur twice. */
        const val KEY_BYTES = 512

        /** The size that is left for the envelope of the request and for preconditions on keys that are not changed, in bytes. */
        const val RESERVED_BYTES = 1024
    }
}
