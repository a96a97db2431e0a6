package lichenstage.jobs

import io.vertx.core.json.JsonObject
import java.util.Base64
import java.util.BitSet

/**
 * Encodes the completed tasks of a job for the state service.
 *
 * The tasks are split into chunks. A chunk is written as ranges of task numbers or as a bitmap, whichever is shorter. It therefore fits one
 * value of the state service, whichever of its tasks are completed.
 */
object CompletedTaskCodec {
    /** The number of tasks in a chunk. A bitmap of this many tasks takes 2,732 characters. */
    const val TASKS_PER_CHUNK = 16_384

    /** The bytes that a value takes in addition to its text: braces, field name and quotes. */
    private const val FIELD_OVERHEAD_BYTES = 16

    /** Returns the number of chunks of a job that has this many tasks. */
    fun chunkCount(tasks: Int) = (tasks + TASKS_PER_CHUNK - 1) / TASKS_PER_CHUNK

    /** Returns the key of a chunk in the state service. */
    fun chunkKey(
        job: String,
        chunk: Int,
    ) = "${JobRecordCodec.DONE_TASKS_PREFIX}$job/$chunk"

    /** Returns the value of a chunk: ranges, or a bitmap if that is shorter. */
    fun encode(
        done: BitSet,
        chunk: Int,
    ): JsonObject {
        val chunkTasks = done.get(chunk * TASKS_PER_CHUNK, (chunk + 1) * TASKS_PER_CHUNK)
        val ranges = encodeRanges(chunkTasks)
        val bitmap = Base64.getEncoder().encodeToString(chunkTasks.toByteArray())
        return if (ranges.length <= bitmap.length) JsonObject().put("ranges", ranges) else JsonObject().put("bits", bitmap)
    }

    /**
     * Returns the first completed tasks of [chunk] that fit a value of [maxBytes], numbered from the start of the chunk.
     *
     * The state service may lower its size limit, so that a value can no longer hold every chunk in full. A task that is left out stays in
     * its worker's task list until a later record contains it.
     */
    fun truncateToFit(
        done: BitSet,
        chunk: Int,
        maxBytes: Int,
    ): BitSet {
        val chunkTasks = done.get(chunk * TASKS_PER_CHUNK, (chunk + 1) * TASKS_PER_CHUNK)
        val maxChars = maxBytes - FIELD_OVERHEAD_BYTES
        if (minOf(encodeRanges(chunkTasks).length, maxBitmapLength(chunkTasks.length())) <= maxChars) return chunkTasks
        val bitmapPart = chunkTasks.get(0, maxBitmapTasks(maxChars))
        val rangesPart = takeRanges(chunkTasks, maxChars)
        return if (bitmapPart.cardinality() >= rangesPart.cardinality()) bitmapPart else rangesPart
    }

    /** Returns an upper bound for the Base64 characters of a bitmap of this many tasks. */
    private fun maxBitmapLength(tasks: Int) = (tasks + BITS_PER_BYTE - 1) / BITS_PER_BYTE * BASE64_CHARS / BASE64_BYTES + BASE64_CHARS

    /** Returns the number of tasks that a bitmap of [length] Base64 characters holds. Only complete Base64 groups count. */
    private fun maxBitmapTasks(length: Int) = length * BASE64_BYTES / BASE64_CHARS / BASE64_BYTES * BASE64_BYTES * BITS_PER_BYTE

    /** Returns the tasks of the first ranges that take at most [maxChars] characters. */
    private fun takeRanges(
        chunkTasks: BitSet,
        maxChars: Int,
    ): BitSet {
        val first = BitSet()
        var remainingChars = maxChars
        var from = chunkTasks.nextSetBit(0)
        while (from >= 0) {
            val end = chunkTasks.nextClearBit(from)
            remainingChars -= "$from-${end - 1},".length
            if (remainingChars < 0) break
            first.set(from, end)
            from = chunkTasks.nextSetBit(end)
        }
        return first
    }

    /** Adds the completed tasks of [chunk] in [value] to [done]. */
    fun decode(
        value: JsonObject,
        chunk: Int,
        done: BitSet,
    ) {
        val firstTask = chunk * TASKS_PER_CHUNK
        val bits = value.getString("bits")
        if (bits != null) {
            val chunkTasks = BitSet.valueOf(Base64.getDecoder().decode(bits))
            var i = chunkTasks.nextSetBit(0)
            while (i >= 0) {
                done.set(firstTask + i)
                i = chunkTasks.nextSetBit(i + 1)
            }
            return
        }
        value.getString("ranges").split(',').filter { it.isNotEmpty() }.forEach {
            val first = it.substringBefore('-').toInt()
            val last = it.substringAfter('-').toInt()
            done.set(firstTask + first, firstTask + last + 1)
        }
    }

    private fun encodeRanges(chunkTasks: BitSet): String {
        val text = StringBuilder()
        var from = chunkTasks.nextSetBit(0)
        while (from >= 0) {
            val end = chunkTasks.nextClearBit(from)
            if (text.isNotEmpty()) text.append(',')
            text.append(from)
            if (end - 1 > from) text.append('-').append(end - 1)
            from = chunkTasks.nextSetBit(end)
        }
        return text.toString()
    }

    private const val BITS_PER_BYTE = 8

    /** Base64 encodes each group of [BASE64_BYTES] bytes as [BASE64_CHARS] characters. */
    private const val BASE64_BYTES = 3
    private const val BASE64_CHARS = 4
}
