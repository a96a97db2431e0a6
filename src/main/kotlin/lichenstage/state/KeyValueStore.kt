package lichenstage.state

/** The operations of the state service that decisions about records need; tests replace it by a model in memory. */
interface KeyValueStore {
    /** Reads one key; gives up after [timeoutMs] milliseconds. */
    suspend fun get(
        key: String,
        timeoutMs: Long = READ_TIMEOUT_MS,
    ): ReadResult

    /**
     * Applies all [changes] atomically where all [preconditions] hold; gives up waiting for the outcome after [timeoutMs] milliseconds.
     * Without changes the preconditions alone are checked. Bulk work ([isUrgent] false) is limited to the request rate that leases, users'
     * requests and the records of ended jobs leave over.
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
