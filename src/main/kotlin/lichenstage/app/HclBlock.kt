package lichenstage.app

import lichenstage.config.InvalidSettingsException
import lichenstage.drain.HourRange

/**
 * One block of an HCL file at [path]. Each accessor reads one key; [rejectUnreadKeys] then rejects every key that no accessor has read. All
 * errors are [InvalidSettingsException]s that name the path of the key and its value.
 */
internal class HclBlock(
    private val values: Map<String, Any?>,
    private val path: String,
) {
    private val readKeys = HashSet<String>()

    /** The names of all keys. */
    val keys: Set<String> get() = values.keys

    /** Whether the key is present. */
    fun has(key: String) = key in values

    /** A list of strings; empty if the key is missing. */
    fun stringList(key: String): List<String> {
        val value = read(key) ?: return emptyList()
        val list = value as? List<*> ?: fail(key, "a list of texts is needed")
        return list.map { it as? String ?: fail(key, "a list of texts is needed") }
    }

    /** Hours of the day as "FROM-TO"; null if the key is missing. */
    fun hourRange(key: String): HourRange? {
        val value = read(key) ?: return null
        val bounds = (value as? String)?.split('-')?.map { it.toIntOrNull() ?: -1 }.orEmpty()
        if (bounds.size != 2 || bounds.any { it !in 0..HOURS_PER_DAY }) fail(key, "hours of the day as \"FROM-TO\" are needed")
        return HourRange(bounds[0], bounds[1])
    }

    private fun read(key: String): Any? {
        readKeys += key
        return values[key]
    }

    private fun fail(
        key: String,
        expected: String,
    ): Nothing = throw InvalidSettingsException("$path$key: $expected, found ${values[key]}")

    /** A nested block; an empty one if the key is missing. */
    fun section(key: String): HclBlock {
        val value = read(key) ?: return HclBlock(emptyMap(), "$path$key.")
        @Suppress("UNCHECKED_CAST")
        return HclBlock(value as? Map<String, Any?> ?: fail(key, "a block is needed"), "$path$key.")
    }

    /** A whole number between [min] and [max]; null if the key is missing. */
    fun wholeNumber(
        key: String,
        min: Long,
        max: Long,
    ): Long? {
        val value = read(key) ?: return null
        val number = (value as? Number)?.toDouble()
        if (number == null || number != Math.rint(number) || number < min || number > max) {
            fail(key, "a whole number from $min to $max is needed")
        }
        return number.toLong()
    }

    /** Rejects the block if it has a key that was not read. */
    fun rejectUnreadKeys() {
        val unreadKey = values.keys.firstOrNull { it !in readKeys } ?: return
        fail(unreadKey, "unknown key")
    }

    private companion object {
        const val HOURS_PER_DAY = 24
    }
}
