package lichenstage.state

import io.vertx.core.json.JsonObject
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import net.jqwik.api.constraints.Size
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

/** Guards against transactions that are within the limit on the number of changes, but too large in bytes. */
class TransactionLimitsTest {
    @Property(tries = 200, seed = "47")
    fun `changes are split into transactions within all limits, in order and without loss`(
        @ForAll @Size(max = 300) numbers: List<Int>,
        @ForAll @IntRange(min = 1, max = 600) maxChanges: Int,
    ) {
        val changes = numbers.mapIndexed(::change)
        val batches = TransactionLimits(maxChanges).split(changes)
        assertEquals(changes, batches.flatten())
        for (batch in batches) {
            assertTrue(batch.size in 1..maxChanges) { "${batch.size} changes" }
            val leaderPreconditions = listOf(Precondition("k".repeat(200), Long.MAX_VALUE), Precondition("c/leader", Long.MAX_VALUE))
            val preconditions = leaderPreconditions + batch.map { Precondition(it.key, Long.MAX_VALUE) }
            val bytes = KeyValueStoreCodec.encodeTransaction(preconditions, batch).toBuffer().length()
            assertTrue(bytes <= 64 * 1024) { "$bytes bytes" }
        }
    }

    private fun change(
        index: Int,
        number: Int,
    ): Change {
        val size = Math.floorMod(number, MAX_TEXT_LENGTH)
        if (size % 7 == 0) return Change.Delete("drain/i/$index")
        return Change.Put("d/j-$index/0", JsonObject().put("bits", "x".repeat(size)))
    }

    @Property(tries = 50, seed = "48")
    fun `a transaction that only compares keys of the maximum length is within the limits`(
        @ForAll @IntRange(min = 1, max = 5000) maxChanges: Int,
    ) {
        val limits = TransactionLimits(maxChanges)
        val preconditions = List(limits.maxPreconditions) { Precondition("j".repeat(200), Long.MAX_VALUE) }
        assertTrue(preconditions.size in 4..4 * maxChanges)
        assertTrue(KeyValueStoreCodec.encodeTransaction(preconditions, emptyList()).toBuffer().length() <= 64 * 1024)
    }

    private companion object {
        const val MAX_TEXT_LENGTH = 16_000
    }
}
