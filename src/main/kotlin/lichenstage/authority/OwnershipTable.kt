package lichenstage.authority

import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import lichenstage.common.JsonHttp.Companion.parsed
import lichenstage.state.Entry

/** Who holds a key, under which term and process lease; [modRevision] is the key's revision. */
data class Holder(
    val label: String,
    val term: Long,
    val lease: Long,
    val modRevision: Long,
)

/** The term counter as it is to be written with an ownership, with the keys that anybody has ever owned. */
internal class TermCounter(
    val term: Long,
    val owned: Collection<String>,
) {
    fun encode(): JsonObject = JsonObject().put(TERM, term).put(OWNED, JsonArray(owned.toList()))

    companion object {
        const val TERM = "term"
        const val OWNED = "owned"
    }
}

/** The keys of leadership and ownership as this process last saw them. */
internal class OwnershipTable {
    private val keys = HashMap<String, Entry>()

    /** Read once: they are asked for at every report. */
    private val holders = HashMap<String, Holder>()

    /** Who holds keys now. */
    val holdersInForce: Collection<Holder> get() = holders.values

    operator fun contains(key: String) = keys.containsKey(key)

    fun holder(key: String): Holder? = holders[key]

    fun modRevision(key: String): Long? = keys[key]?.modRevision

    /** All of them as of [revision], read whole. What is known to have changed since stays. */
    fun reset(
        entries: List<Entry>,
        revision: Long,
    ) {
        keys.values.removeIf { it.modRevision <= revision }
        holders.keys.retainAll(keys.keys)
        entries.forEach(::put)
    }

    /**
     * What has changed, in any order. A key that was put and then deleted is gone: taken for held, as it once was after a watch that
     * had been interrupted, it would be nobody's to take.
     */
    fun change(
        puts: List<Entry>,
        deletes: List<Entry>,
    ) {
        val deletedAt = deletes.groupBy { it.key }.mapValues { (_, rows) -> rows.maxOf { it.modRevision } }
        deletes.forEach { remove(it.key, it.modRevision) }
        puts.filter { it.modRevision > (deletedAt[it.key] ?: Long.MIN_VALUE) }.forEach(::put)
    }

    /** The key as of a newer change. */
    fun put(entry: Entry) {
        if (isOld(entry.key, entry.modRevision)) return
        keys[entry.key] = entry
        val holder = if (entry.key == TERMS) null else read(entry)
        if (holder == null) holders.remove(entry.key) else holders[entry.key] = holder
    }

    /** The key was deleted at [modRevision]. */
    fun remove(
        key: String,
        modRevision: Long,
    ) {
        if (isOld(key, modRevision)) return
        keys.remove(key)
        holders.remove(key)
    }

    private fun isOld(
        key: String,
        modRevision: Long,
    ) = (keys[key]?.modRevision ?: 0) >= modRevision

    private fun read(entry: Entry): Holder? =
        parsed {
            Holder(entry.value.getString("label")!!, entry.value.getLong("term")!!, entry.value.getLong("lease")!!, entry.modRevision)
        }

    /** The counter that goes with the next ownership of [key]. */
    fun nextTerm(key: String) = TermCounter(lastTerm() + 1, (owned() + key).toSortedSet())

    /** The counter [count] terms on, with nobody new who owns anything. */
    fun counterAfter(count: Int) = TermCounter(lastTerm() + count, owned())

    /** The highest term that was given out. */
    fun lastTerm(): Long = keys[TERMS]?.value?.getLong(TermCounter.TERM) ?: 0

    /** Before anybody has owned a partition its own controller is given time to start. */
    fun everOwned(key: String) = key in owned()

    private fun owned(): List<String> =
        keys[TERMS]
            ?.value
            ?.getJsonArray(TermCounter.OWNED)
            ?.map { it as String }
            .orEmpty()

    companion object {
        /** The key of the term counter. */
        const val TERMS = "c/terms"
    }
}
