package lichenstage.common

/** A map of at most [most] entries, which drops the one that was used longest ago. */
class LruMap<K, V>(
    private val most: Int,
) : LinkedHashMap<K, V>(INITIAL, LOAD, true) {
    override fun removeEldestEntry(eldest: MutableMap.MutableEntry<K, V>) = size > most

    private companion object {
        const val INITIAL = 64
        const val LOAD = 0.75f
    }
}
