package lichenstage.common

/** A map of at most [maxSize] entries. When it is full, a new entry evicts the least recently used one. */
class LruMap<K, V>(
    private val maxSize: Int,
) : LinkedHashMap<K, V>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
    override fun removeEldestEntry(eldest: MutableMap.MutableEntry<K, V>) = size > maxSize

    private companion object {
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
    }
}
