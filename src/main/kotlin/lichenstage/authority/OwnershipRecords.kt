package lichenstage.authority

import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import lichenstage.common.JsonDecodingException
import lichenstage.common.requiredLong
import lichenstage.common.requiredString
import lichenstage.state.Entry

/** The keys and JSON documents of leadership, ownership of partitions and the counter of terms in the state service. */
object OwnershipRecords {
    /** The prefix of all keys below. */
    const val KEY_PREFIX = "c/"

    /** The key of leadership. */
    const val LEADER_KEY = "c/leader"

    /** The prefix of the keys of partitions; the partition's name follows. */
    const val PARTITION_KEY_PREFIX = "c/part/"

    /** The key of the counter of terms. */
    const val TERM_COUNTER_KEY = "c/terms"
    private const val LABEL = "label"
    private const val TERM = "term"
    private const val LEASE = "lease"
    private const val EVER_OWNED_KEYS = "owned"

    /** The key of a partition's ownership. */
    fun partitionKey(partition: String) = PARTITION_KEY_PREFIX + partition

    /** The partition of a key that [partitionKey] has made; other keys are returned unchanged. */
    internal fun partitionOf(key: String) = key.removePrefix(PARTITION_KEY_PREFIX)

    /** The record of an ownership or a leadership. */
    internal fun encodeOwnership(
        label: String,
        term: Long,
        lease: Long,
    ): JsonObject = JsonObject().put(LABEL, label).put(TERM, term).put(LEASE, lease)

    /** The holder that a record of ownership names. Throws [JsonDecodingException]. */
    internal fun decodeHolder(entry: Entry): Holder {
        val record = entry.value
        return Holder(record.requiredString(LABEL), record.requiredLong(TERM), record.requiredLong(LEASE), entry.modRevision)
    }

    /** The record of the term counter. */
    internal fun encodeTermCounter(counter: TermCounter): JsonObject =
        JsonObject().put(TERM, counter.term).put(EVER_OWNED_KEYS, JsonArray(counter.everOwnedKeys.toList()))

    /** The last term that a record of the term counter says was given out; 0 where it names none. */
    internal fun decodeLastTerm(record: JsonObject): Long = record.getLong(TERM) ?: 0

    /** The keys that a record of the term counter lists as owned at any time. */
    internal fun decodeEverOwnedKeys(record: JsonObject): List<String> =
        record.getJsonArray(EVER_OWNED_KEYS)?.map { it as String }.orEmpty()
}
