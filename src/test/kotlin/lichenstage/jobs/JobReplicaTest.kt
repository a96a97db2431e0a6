package lichenstage.jobs

import lichenstage.cluster.CompletionSyncReply
import lichenstage.common.SECOND
import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import java.util.Random

class JobReplicaTest {
    private fun replica(
        incarnation: Long,
        vararg others: String,
    ) = JobReplica(incarnation, others.toSet(), BOUND)

    /**
     * One that can't read asks two that can; answers are lost, late and repeated, and a process of them is followed by another. Whenever
     * it holds itself for current, it knows every end that a user had been told of longer than the bound ago.
     */
    @Property(tries = 400, seed = "91")
    fun `who is current knows what users were told`(
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        val asker = replica(1, "a", "b").apply { replaceAll(emptyMap(), 100, 0) }
        val others = HashMap(mapOf("a" to replica(2, "b", "asker"), "b" to replica(3, "a", "asker")))
        others.values.forEach { it.replaceAll(emptyMap(), 100, 0) }
        val told = ArrayList<Pair<String, Long>>()
        val late = ArrayList<Pair<String, CompletionSyncReply>>()
        var revision = 100L
        var now = 0L
        repeat(400) { step ->
            now += random.nextInt(400_000)
            val name = if (random.nextBoolean()) "a" else "b"
            when (random.nextInt(8)) {
                0, 1 -> {
                    repeat(if (random.nextInt(12) == 0) 900 else 1) { n ->
                        val job = "j-$step-$n"
                        others.getValue(name).recordEnd(job, ++revision)
                        told += job to now
                    }
                }

                2 -> {
                    if (random.nextInt(20) == 0) {
                        others[name] = replica(10L + step, "x")
                        if (random.nextBoolean()) others.getValue(name).replaceAll(emptyMap(), revision, now)
                    }
                }

                3 -> {
                    if (late.isNotEmpty()) late[random.nextInt(late.size)].let { (from, reply) -> asker.applySyncReply(from, reply) }
                }

                else -> {
                    val syncRequest = asker.syncRequest(name, now) ?: return@repeat
                    val reply = others.getValue(name).syncReply(syncRequest) ?: return@repeat
                    if (random.nextInt(3) == 0) late += name to reply else asker.applySyncReply(name, reply)
                }
            }
            if (!asker.isCurrent(now)) return@repeat
            val lacking = told.filter { (job, at) -> at < now - BOUND && !asker.hasEnded(job, 0) }
            assertTrue(lacking.isEmpty()) { "seed $seed step $step: not known: ${lacking.take(3)}" }
        }
    }

    @Example
    fun `word of all others keeps it current, word of some does not`() {
        val asker = replica(1, "a", "b").apply { replaceAll(emptyMap(), 100, 0) }
        val (a, b) = List(2) { replica(2L + it, "asker").apply { replaceAll(emptyMap(), 90, 0) } }
        for (second in 1L..60) {
            val now = second * SECOND
            asker.applySyncReply("a", a.syncReply(asker.syncRequest("a", now)!!)!!)
            if (second <= 30) asker.applySyncReply("b", b.syncReply(asker.syncRequest("b", now)!!)!!)
            assertTrue(asker.isCurrent(now) == now <= 30 * SECOND + BOUND) { "after $second s" }
        }
    }

    @Example
    fun `a task is not taken for over because its job is newer than what was read`() {
        val replica = replica(1).apply { replaceAll(mapOf("j-1" to 5L), 10, 100) }
        assertTrue(!replica.hasEnded("j-1", 50) && !replica.hasEnded("j-2", 200) && replica.hasEnded("j-2", 50)) {
            "only what a later read does not find is over"
        }
        replica.applyChanges(mapOf("j-2" to 11L), mapOf("j-1" to 12L), 12, 300)
        assertTrue(replica.hasEnded("j-1", 400) && !replica.hasEnded("j-2", 200)) { "the watch says otherwise" }
    }

    @Example
    fun `a single controller is as stale as its last read`() {
        val alone = replica(1)
        assertFalse(alone.isCurrent(0)) { "current before anything was read" }
        alone.replaceAll(emptyMap(), 1, SECOND)
        assertTrue(alone.isCurrent(SECOND + BOUND) && !alone.isCurrent(2 * SECOND + BOUND)) { "not as of its read" }
    }

    @Example
    fun `the bound leaves a lease and some room within the time of a cancellation`() {
        for ((cancelS, leaseS) in listOf(46L to 26L, 47L to 17L, 60L to 15L)) {
            val bound = JobReplica.maxStalenessUs(cancelS * SECOND, leaseS * SECOND)
            assertTrue(
                bound > 10 * SECOND && bound + leaseS * SECOND * 1.0005 + 2 * SECOND < cancelS * SECOND,
            ) { "$cancelS, $leaseS: $bound" }
        }
    }

    private companion object {
        const val BOUND = 17 * SECOND
    }
}
