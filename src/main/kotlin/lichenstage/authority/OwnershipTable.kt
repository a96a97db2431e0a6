package lichenstage.authority

import lichenstage.common.JsonDecodingException
import lichenstage.state.Entry
import org.slf4j.LoggerFactory

/** The records of leadership, ownership and the term counter as this process last saw them. */
internal class OwnershipTable {
    private val log = LoggerFactory.getLogger("lichenstage.authority")
    private val entries = HashMap<String, Entry>()

    /** The decoded holders: they are asked for at every heartbeat. */
    private val holders = HashMap<String, Holder>()

    /** The records have been read completely at least once. */
    var isLoaded = false

    /** The holders of all keys that are held. */
    val currentHolders: Collection<Holder> get() = holders.values

    operator fun contains(key: String) = entries.containsKey(key)

    fun holder(key: String): Holder? = holders[key]

    fun modRevision(key: String): Long? = entries[key]?.modRevision

    /** Takes in all records as of [revision], as a scan has read them. Changes that are known to be later stay. */
    fun applyScan(
        scanned: List<Entry>,
        revision: Long,
    ) {
        entries.values.removeIf { it.modRevision <= revision }
        holders.keys.retainAll(entries.keys)
        scanned.forEach(::put)
    }

    /**
     * Takes in changes in any order. A key that was put and then deleted is gone: as it once was after a watch that had been interrupted,
     * a key that this table wrongly shows as held would be acquired by no controller.
     */
    fun applyChanges(
        puts: List<Entry>,
        deletes: List<Entry>,
    ) {
        val deletionRevisions = deletes.groupBy { it.key }.mapValues { (_, rows) -> rows.maxOf { it.modRevision } }
        deletes.forEach { remove(it.key, it.modRevision) }
        puts.filter { it.modRevision > (deletionRevisions[it.key] ?: Long.MIN_VALUE) }.forEach(::put)
    }

    /** Takes in a record, unless a later change of its key is known. */
    fun put(entry: Entry) {
        if (isOutdated(entry.key, entry.modRevision)) return
        entries[entry.key] = entry
        val holder = if (entry.key == OwnershipRecords.TERM_COUNTER_KEY) null else decode(entry)
        if (holder == null) holders.remove(entry.key) else holders[entry.key] = holder
    }

    /** Takes in that the key was deleted at [modRevision], unless a later change of it is known. */
    fun remove(
        key: String,
        modRevision: Long,
    ) {
        if (isOutdated(key, modRevision)) return
        entries.remove(key)
        holders.remove(key)
    }

    private fun isOutdated(
        key: String,
        modRevision: Long,
    ) = (entries[key]?.modRevision ?: 0) >= modRevision

    private fun decode(entry: Entry): Holder? =
        try {
            OwnershipRecords.decodeHolder(entry)
        } catch (e: JsonDecodingException) {
            log.info("Ownership record could not be decoded key={} reason={}", entry.key, e.message)
            null
        }

    /** The counter as it is to be written with the next ownership of [key]. */
    fun nextCounter(key: String) = TermCounter(lastTerm() + 1, (everOwnedKeys() + key).toSortedSet())

    /** The counter [count] terms on, with the same keys that were ever owned. */
    fun counterAfter(count: Int) = TermCounter(lastTerm() + count, everOwnedKeys())

    /** The highest term that was given out. */
    fun lastTerm(): Long = entries[OwnershipRecords.TERM_COUNTER_KEY]?.let { OwnershipRecords.decodeLastTerm(it.value) } ?: 0

    /** Any controller has owned the key: before that, a partition's home controller is given time to start. */
    fun hasEverBeenOwned(key: String) = key in everOwnedKeys()

    private fun everOwnedKeys(): List<String> =
        entries[OwnershipRecords.TERM_COUNTER_KEY]?.let { OwnershipRecords.decodeEverOwnedKeys(it.value) }.orEmpty()
}
