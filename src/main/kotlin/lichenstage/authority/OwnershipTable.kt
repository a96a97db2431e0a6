package lichenstage.authority

import lichenstage.common.JsonDecodingException
import lichenstage.state.Entry
import org.slf4j.LoggerFactory

/** The records of leadership, partition ownership and the term counter as this process last saw them. */
internal class OwnershipTable {
    private val log = LoggerFactory.getLogger("lichenstage.authority")
    private val entries = HashMap<String, Entry>()

    /** The decoded ownerships by key, kept since every heartbeat looks one up. */
    private val ownerships = HashMap<String, Ownership>()

    /** Whether the records have been read completely at least once. */
    var isLoaded = false

    /** The ownerships of all keys that have an owner. */
    val currentOwnerships: Collection<Ownership> get() = ownerships.values

    operator fun contains(key: String) = entries.containsKey(key)

    fun ownership(key: String): Ownership? = ownerships[key]

    fun modRevision(key: String): Long? = entries[key]?.modRevision

    /** Replaces the table with the result of a scan at [revision], but keeps changes after that revision. */
    fun applyScan(
        scanned: List<Entry>,
        revision: Long,
    ) {
        entries.values.removeIf { it.modRevision <= revision }
        ownerships.keys.retainAll(entries.keys)
        scanned.forEach(::put)
    }

    /**
     * Applies changes in any order of their revisions. A key that was put and then deleted ends up deleted. Otherwise the table would show
     * the key as owned, and no controller would acquire it; this once happened after an interrupted watch.
     */
    fun applyChanges(
        puts: List<Entry>,
        deletes: List<Entry>,
    ) {
        val deletionRevisions = deletes.groupBy { it.key }.mapValues { (_, rows) -> rows.maxOf { it.modRevision } }
        deletes.forEach { remove(it.key, it.modRevision) }
        puts.filter { it.modRevision > (deletionRevisions[it.key] ?: Long.MIN_VALUE) }.forEach(::put)
    }

    /** Stores a record unless the table already has a change of the key at the same or a later revision. */
    fun put(entry: Entry) {
        if (isOutdated(entry.key, entry.modRevision)) return
        entries[entry.key] = entry
        val ownership = if (entry.key == OwnershipRecords.TERM_COUNTER_KEY) null else decode(entry)
        if (ownership == null) ownerships.remove(entry.key) else ownerships[entry.key] = ownership
    }

    /** Removes a key that was deleted at [modRevision], unless the table already has a change at the same or a later revision. */
    fun remove(
        key: String,
        modRevision: Long,
    ) {
        if (isOutdated(key, modRevision)) return
        entries.remove(key)
        ownerships.remove(key)
    }

    private fun isOutdated(
        key: String,
        modRevision: Long,
    ) = (entries[key]?.modRevision ?: 0) >= modRevision

    private fun decode(entry: Entry): Ownership? =
        try {
            OwnershipRecords.decodeOwnership(entry)
        } catch (e: JsonDecodingException) {
            log.info("Ownership record not decodable key={} reason={}", entry.key, e.message)
            null
        }

    /** Returns the counter to write with the next acquisition of [key]. */
    fun nextCounter(key: String) = TermCounter(lastTerm() + 1, (everOwnedKeys() + key).toSortedSet())

    /** Returns the counter advanced by [count] terms, with the same set of ever owned keys. */
    fun counterAfter(count: Int) = TermCounter(lastTerm() + count, everOwnedKeys())

    /** Returns the highest term issued; 0 if none was issued yet. */
    fun lastTerm(): Long = entries[OwnershipRecords.TERM_COUNTER_KEY]?.let { OwnershipRecords.decodeLastTerm(it.value) } ?: 0

    /** Returns whether any controller has ever owned the key. Before that, the home controller of a partition gets time to start. */
    fun hasEverBeenOwned(key: String) = key in everOwnedKeys()

    private fun everOwnedKeys(): List<String> =
        entries[OwnershipRecords.TERM_COUNTER_KEY]?.let { OwnershipRecords.decodeEverOwnedKeys(it.value) }.orEmpty()
}
