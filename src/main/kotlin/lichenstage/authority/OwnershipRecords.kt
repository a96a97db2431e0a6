package lichenstage.authority

import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import lichenstage.common.JsonDecodingException
import lichenstage.common.requiredLong
import lichenstage.common.requiredString
import lichenstage.state.Entry

/** The keys and JSON documents in the state service for leadership, partition ownership and the term counter. */
object OwnershipRecords {
    /** The common prefix of all keys in this object. */
    const val KEY_PREFIX = "c/"

    /** The key of leadership. */
    const val LEADER_KEY = "c/leader"

    /** The prefix of partition keys; the name of the partition follows it. */
    const val PARTITION_KEY_PREFIX = "c/part/"

    /** The key of the term counter. */
    const val TERM_COUNTER_KEY = "c/terms"
    private const val LABEL = "label"
    private const val TERM = "term"
    private const val LEASE = "lease"
    private const val EVER_OWNED_KEYS = "owned"

    /** Returns the key of the ownership record of [partition]. */
    fun partitionKey(partition: String) = PARTITION_KEY_PREFIX + partition

    /** Returns the partition of a key made by [partitionKey]; returns other keys unchanged. */
    internal fun partitionOf(key: String) = key.removePrefix(PARTITION_KEY_PREFIX)

    /** Returns the record of a leadership or partition ownership. */
    internal fun encodeOwnership(
        label: String,
        term: Long,
        leaseId: Long,
    ): JsonObject = JsonObject().put(LABEL, label).put(TERM, term).put(LEASE, leaseId)

    /** Returns the ownership that a record describes. Throws [JsonDecodingException] if a field is missing or has another type. */
    internal fun decodeOwnership(entry: Entry): Ownership {
        val record = entry.value
        return Ownership(record.requiredString(LABEL), record.requiredLong(TERM), record.requiredLong(LEASE), entry.modRevision)
    }

    /** Returns the record of the term counter. */
    internal fun encodeTermCounter(counter: TermCounter): JsonObject =
        JsonObject().put(TERM, counter.term).put(EVER_OWNED_KEYS, JsonArray(counter.everOwnedKeys.toList()))

    /** Returns the highest term issued according to a record of the term counter; 0 if the record has none. */
    internal fun decodeLastTerm(record: JsonObject): Long = record.getLong(TERM) ?: 0

    /** Returns the keys that have ever been owned according to a record of the term counter. */
    internal fun decodeEverOwnedKeys(record: JsonObject): List<String> =
        record.getJsonArray(EVER_OWNED_KEYS)?.map { it as String }.orEmpty()
}
