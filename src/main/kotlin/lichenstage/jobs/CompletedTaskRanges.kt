package lichenstage.jobs

import io.vertx.core.json.JsonObject
import java.util.Base64
import java.util.BitSet

/**
 * The done tasks of a job, in chunks that each fit a value of the state service in any pattern: as ranges while those are
 * the shorter form, else as a bitmap.
 */
object CompletedTaskRanges {
    /** A bitmap of this many tasks takes 2,732 characters. */
    const val CHUNK = 16_384

    /** What a value takes beside the text. */
    private const val FORM_BYTES = 16

    /** How many chunks a job of so many tasks has. */
    fun chunks(tasks: Int) = (tasks + CHUNK - 1) / CHUNK

    /** The key of a chunk. */
    fun key(
        job: String,
        chunk: Int,
    ) = "${JobRecordCodec.DONE}$job/$chunk"

    /** The value of a chunk: ranges, or a bitmap where that is shorter. */
    fun encode(
        done: BitSet,
        chunk: Int,
    ): JsonObject {
        val partition = done.get(chunk * CHUNK, (chunk + 1) * CHUNK)
        val ranges = ranges(partition)
        val bitmap = Base64.getEncoder().encodeToString(partition.toByteArray())
        return if (ranges.length <= bitmap.length) JsonObject().put("ranges", ranges) else JsonObject().put("bits", bitmap)
    }

    /**
     * As much of the done tasks of [chunk] as a value of [mostBytes] holds, the first of them: a chunk is sized for larger values than
     * the state service may take one day. What is left out is told by its worker until a later record holds it.
     */
    fun fitting(
        done: BitSet,
        chunk: Int,
        mostBytes: Int,
    ): BitSet {
        val partition = done.get(chunk * CHUNK, (chunk + 1) * CHUNK)
        val room = mostBytes - FORM_BYTES
        if (minOf(ranges(partition).length, (partition.length() + 7) / 8 * 4 / 3 + 4) <= room) return partition
        val asBits = partition.get(0, room * 3 / 4 / 3 * 3 * 8)
        val asRanges = firstRanges(partition, room)
        return if (asBits.cardinality() >= asRanges.cardinality()) asBits else asRanges
    }

    private fun firstRanges(
        partition: BitSet,
        room: Int,
    ): BitSet {
        val first = BitSet()
        var left = room
        var from = partition.nextSetBit(0)
        while (from >= 0) {
            val end = partition.nextClearBit(from)
            left -= "$from-${end - 1},".length
            if (left < 0) break
            first.set(from, end)
            from = partition.nextSetBit(end)
        }
        return first
    }

    /** Adds what [value] says of [chunk] to [done]. */
    fun decode(
        value: JsonObject,
        chunk: Int,
        done: BitSet,
    ) {
        val base = chunk * CHUNK
        val bits = value.getString("bits")
        if (bits != null) {
            val partition = BitSet.valueOf(Base64.getDecoder().decode(bits))
            var i = partition.nextSetBit(0)
            while (i >= 0) {
                done.set(base + i)
                i = partition.nextSetBit(i + 1)
            }
            return
        }
        value.getString("ranges").split(',').filter { it.isNotEmpty() }.forEach {
            val first = it.substringBefore('-').toInt()
            val last = it.substringAfter('-').toInt()
            done.set(base + first, base + last + 1)
        }
    }

    private fun ranges(partition: BitSet): String {
        val text = StringBuilder()
        var from = partition.nextSetBit(0)
        while (from >= 0) {
            val end = partition.nextClearBit(from)
            if (text.isNotEmpty()) text.append(',')
            text.append(from)
            if (end - 1 > from) text.append('-').append(end - 1)
            from = partition.nextSetBit(end)
        }
        return text.toString()
    }
}
