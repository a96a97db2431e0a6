package lichenstage.app

import lichenstage.config.InvalidSettingsException
import lichenstage.drain.HourRange

/**
 * One block of an HCL file, at [path]. Each accessor reads one key. After all accessors, [rejectUnreadKeys] must be called: it rejects the
 * keys that no accessor has read. All errors are [InvalidSettingsException]s that name the path of the key, what is expected and the value
 * found.
 */
internal class HclBlock(
    private val values: Map<String, Any?>,
    private val path: String,
) {
    private val readKeys = HashSet<String>()

    /** The names of all keys in the block. */
    val keys: Set<String> get() = values.keys

    /** Returns whether the block has the key. */
    fun has(key: String) = key in values

    /** Returns a list of strings; an empty list if the key is missing. */
    fun stringList(key: String): List<String> {
        val value = read(key) ?: return emptyList()
        val list = value as? List<*> ?: fail(key, "must be a list of strings")
        return list.map { it as? String ?: fail(key, "must be a list of strings") }
    }

    /** Returns a range of hours of the day, written as "FROM-TO"; null if the key is missing. */
    fun hourRange(key: String): HourRange? {
        val value = read(key) ?: return null
        val bounds = (value as? String)?.split('-')?.map { it.toIntOrNull() ?: -1 }.orEmpty()
        if (bounds.size != 2 || bounds.any { it !in 0..HOURS_PER_DAY }) fail(key, "must be hours of the day as \"FROM-TO\"")
        return HourRange(bounds[0], bounds[1])
    }

    private fun read(key: String): Any? {
        readKeys += key
        return values[key]
    }

    private fun fail(
        key: String,
        expected: String,
    ): Nothing = throw InvalidSettingsException("$path$key: $expected, was ${values[key]}")

    /** Returns a nested block; an empty block if the key is missing. */
    fun section(key: String): HclBlock {
        val value = read(key) ?: return HclBlock(emptyMap(), "$path$key.")
        @Suppress("UNCHECKED_CAST")
        return HclBlock(value as? Map<String, Any?> ?: fail(key, "must be a block"), "$path$key.")
    }

    /** Returns a whole number from [min] to [max]; null if the key is missing. */
    fun wholeNumber(
        key: String,
        min: Long,
        max: Long,
    ): Long? {
        val value = read(key) ?: return null
        val number = (value as? Number)?.toDouble()
        if (number == null || number != Math.rint(number) || number < min || number > max) {
            fail(key, "must be a whole number from $min to $max")
        }
        return number.toLong()
    }

    /** Throws [InvalidSettingsException] if the block has a key that no accessor has read. */
    fun rejectUnreadKeys() {
        val unreadKey = values.keys.firstOrNull { it !in readKeys } ?: return
        fail(unreadKey, "must not be set, the key is unknown")
    }

    private companion object {
        const val HOURS_PER_DAY = 24
    }
}
