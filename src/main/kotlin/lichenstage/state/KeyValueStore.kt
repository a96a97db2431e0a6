package lichenstage.state

/** The operations of the state service on single keys and transactions. Tests replace it with an in-memory implementation. */
interface KeyValueStore {
    /** Reads one key. Returns [ReadResult.Unavailable] if there is no reply within [timeoutMs] milliseconds. */
    suspend fun get(
        key: String,
        timeoutMs: Long = READ_TIMEOUT_MS,
    ): ReadResult

    /**
     * Applies all [changes] atomically if all [preconditions] hold. Returns [TransactionResult.Indeterminate] if there is no reply within
     * [timeoutMs] milliseconds.
     *
     * Without changes, only the preconditions are checked. Bulk work ([isUrgent] false) is limited to the request rate that leases, users'
     * requests and records of finished jobs leave unused.
     */
    suspend fun commit(
        preconditions: List<Precondition>,
        changes: List<Change>,
        timeoutMs: Long = TRANSACTION_TIMEOUT_MS,
        isUrgent: Boolean = true,
    ): TransactionResult

    companion object {
        const val READ_TIMEOUT_MS = 1500L
        const val TRANSACTION_TIMEOUT_MS = 2000L
    }
}
