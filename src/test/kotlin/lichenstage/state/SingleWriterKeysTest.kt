package lichenstage.state

import io.vertx.core.json.JsonObject
import kotlinx.coroutines.runBlocking
import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import java.util.Random

/** Guards against transactions with an unknown outcome that are applied late and overwrite newer values with older ones. */
class SingleWriterKeysTest {
    /** A state service that sometimes gives no reply to a transaction, and applies this transaction at once, later or never. */
    private class DelayedCommitStore(
        private val random: Random,
    ) : InMemoryKeyValueStore() {
        private val queue = ArrayList<Pair<List<Precondition>, List<Change>>>()

        override suspend fun get(
            key: String,
            timeoutMs: Long,
        ) = if (random.nextInt(8) == 0) ReadResult.Unavailable else read(key)

        override suspend fun commit(
            preconditions: List<Precondition>,
            changes: List<Change>,
            timeoutMs: Long,
            isUrgent: Boolean,
        ): TransactionResult {
            if (queue.isNotEmpty() && random.nextInt(3) == 0) queue.removeAt(random.nextInt(queue.size)).let { apply(it.first, it.second) }
            return when (random.nextInt(8)) {
                0 -> TransactionResult.Indeterminate.also { apply(preconditions, changes) }
                1, 2 -> TransactionResult.Indeterminate.also { queue += preconditions to changes }
                3 -> TransactionResult.Rejected
                else -> apply(preconditions, changes)
            }
        }

        fun applyDelayedCommits() = queue.forEach { apply(it.first, it.second) }
    }

    @Property(tries = 500, seed = "17")
    fun `a delayed transaction never overwrites a newer committed value`(
        @ForAll seed: Long,
    ) = runBlocking {
        val random = Random(seed)
        val store = DelayedCommitStore(random)
        val singleWriterKeys = SingleWriterKeys(store, TransactionLimits(12))
        val lastCommittedStep = HashMap<String, Int>()

        fun check(step: Int) =
            lastCommittedStep.forEach { (key, committedStep) ->
                val value = store.entries[key]?.value?.getInteger("n") ?: -1
                assertTrue(value >= committedStep) { "seed $seed step $step: $key has the older value $value after $committedStep" }
            }
        var commits = 0
        repeat(120) { step ->
            val keys = listOf("m/0", "m/1", "d/j-1/0").shuffled(random).take(1 + random.nextInt(3))
            val changes = keys.map { Change.Put(it, JsonObject().put("n", step)) }
            if (singleWriterKeys.write(emptyList(), changes, isUrgent = true) == WriteOutcome.COMMITTED) {
                commits++
                keys.forEach { lastCommittedStep[it] = step }
            }
            check(step)
        }
        store.applyDelayedCommits()
        check(120)
        assertTrue(commits > 10) { "seed $seed: only $commits writes were committed" }
    }

    /** Completion chunks of large jobs take 2.7 KB each, and a transaction may have 48 changes but only 64 KiB. */
    @Example
    fun `a write that is too large for one transaction is committed in several`() =
        runBlocking {
            val store = LimitedStore(maxChanges = 48, maxValueBytes = 16 * 1024)
            val changes = List(48) { Change.Put("d/j-$it/0", JsonObject().put("bits", "A".repeat(2732))) }
            val outcome =
                SingleWriterKeys(
                    store,
                    TransactionLimits(48),
                ).write(listOf(Precondition("c/leader", 0)), changes, isUrgent = false)
            assertEquals(WriteOutcome.COMMITTED, outcome)
            assertEquals(48, store.entries.size)
            assertEquals(0, store.refusals)
        }
}
