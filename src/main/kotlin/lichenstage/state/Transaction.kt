package lichenstage.state

import io.vertx.core.json.JsonObject

/** A precondition of a transaction: [key] was last changed at [modRevision], or does not exist if that is [ABSENT]. */
data class Precondition(
    val key: String,
    val modRevision: Long,
) {
    companion object {
        /** The revision of a key that does not exist. */
        const val ABSENT = 0L

        /** Returns the precondition that [key] does not exist. */
        fun absent(key: String) = Precondition(key, ABSENT)

        /** Returns one precondition for each key of [modRevisions], a map from keys to their revisions. */
        fun allOf(modRevisions: Map<String, Long>): List<Precondition> = modRevisions.map { (key, revision) -> Precondition(key, revision) }
    }
}

/** One change of a key within a transaction. */
sealed interface Change {
    val key: String

    /** Writes [value] to the key. If [leaseId] is not null, the service deletes the key when that lease ends. */
    data class Put(
        override val key: String,
        val value: JsonObject,
        val leaseId: Long? = null,
    ) : Change

    /** Deletes the key. */
    data class Delete(
        override val key: String,
    ) : Change
}

/** The outcome of a transaction. */
sealed interface TransactionResult {
    /** All changes were applied at [revision]. */
    data class Committed(
        val revision: Long,
    ) : TransactionResult

    /** A precondition did not hold, and nothing was applied. [failedKeys] contains the keys that the service reported. */
    data class Conflict(
        val failedKeys: List<String> = emptyList(),
    ) : TransactionResult

    /** The lease of a put has ended, and nothing was applied. */
    data object LeaseExpired : TransactionResult

    /**
     * The service refused the transaction as invalid, for example because it is too large, and nothing was applied. The same transaction
     * would be refused again.
     */
    data object Invalid : TransactionResult

    /** The service refused the request because of its load or rate limits, and nothing was applied. */
    data object Rejected : TransactionResult

    /**
     * The outcome is unknown: no reply, or a reply that does not state the outcome. The transaction may still be applied later, so every
     * transaction carries its own preconditions.
     */
    data object Indeterminate : TransactionResult
}
