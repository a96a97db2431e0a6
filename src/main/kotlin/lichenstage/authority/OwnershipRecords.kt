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
    const val PREFIX = "c/"

    /** The key of leadership. */
    const val LEADER = "c/leader"

    /** The prefix of the keys of partitions; the partition's name follows. */
    const val PARTITION = "c/part/"

    /** The key of the counter of terms. */
    const val TERM_COUNTER = "c/terms"
    private const val LABEL = "label"
    private const val TERM = "term"
    private const val LEASE = "lease"
    private const val EVER_OWNED = "owned"

    /** The key of a partition's ownership. */
    fun partitionKey(partition: String) = PARTITION + partition

    /** The partition of a key that [partitionKey] has made; other keys are returned unchanged. */
    internal fun partitionOf(key: String) = key.removePrefix(PARTITION)

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
        JsonObject().put(TERM, counter.term).put(EVER_OWNED, JsonArray(counter.owned.toList()))

    /** The last term that a record of the term counter says was given out; 0 where it names none. */
    internal fun lastTerm(record: JsonObject): Long = record.getLong(TERM) ?: 0

    /** The keys that a record of the term counter lists as owned at any time. */
    internal fun everOwned(record: JsonObject): List<String> = record.getJsonArray(EVER_OWNED)?.map { it as String }.orEmpty()
}
