package lichenstage.state

import io.vertx.core.json.JsonObject

/** A condition of a transaction: the key was last changed at [modRevision], or does not exist where that is [ABSENT]. */
data class Precondition(
    val key: String,
    val modRevision: Long,
) {
    companion object {
        /** The revision of a key that does not exist. */
        const val ABSENT = 0L

        /** The key does not exist. */
        fun absent(key: String) = Precondition(key, ABSENT)

        /** One precondition for each key of a map from keys to their revisions. */
        fun allOf(modRevisions: Map<String, Long>): List<Precondition> = modRevisions.map { (key, revision) -> Precondition(key, revision) }
    }
}

/** One change of a key within a transaction. */
sealed interface Change {
    val key: String

    /** Writes the key; with a [lease] the key is deleted when that lease ends. */
    data class Put(
        override val key: String,
        val value: JsonObject,
        val lease: Long? = null,
    ) : Change

    /** Deletes the key. */
    data class Delete(
        override val key: String,
    ) : Change
}

/** The outcome of a transaction. */
sealed interface TransactionResult {
    /** All changes were applied, at this revision. */
    data class Committed(
        val revision: Long,
    ) : TransactionResult

    /** A precondition did not hold and nothing was applied; [failedKeys] names the keys of those that the service reported. */
    data class Conflict(
        val failedKeys: List<String> = emptyList(),
    ) : TransactionResult

    /** The lease of a put has ended; nothing was applied. */
    data object LeaseExpired : TransactionResult

    /** The service refused the request for lack of capacity; nothing was applied. */
    data object Rejected : TransactionResult

    /** No answer, or one that decides nothing: the transaction may still be applied later, so each carries its own preconditions. */
    data object Indeterminate : TransactionResult
}
