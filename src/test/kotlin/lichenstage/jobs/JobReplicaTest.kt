package lichenstage.jobs

import lichenstage.cluster.CompletionSyncReply
import lichenstage.common.SECOND
import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import java.util.Random

/** Guards against a replica that counts as current although it lacks an end that a user saw longer ago than its maximum staleness. */
class JobReplicaTest {
    private fun replica(
        incarnation: Long,
        vararg peers: String,
    ) = JobReplica(incarnation, peers.toSet(), MAX_STALENESS_US)

    /**
     * Guards against a current replica that lacks an end. A controller that cannot read the state service sends requests to two controllers
     * that can. Their replies are lost, late or repeated, and their processes are replaced by new ones. Whenever the replica is current, it
     * must know every end that a user was told of more than [MAX_STALENESS_US] ago.
     */
    @Property(tries = 400, seed = "91")
    fun `a current replica knows the ends that users were told of`(
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        val requester = replica(1, "a", "b").apply { replaceAll(emptyMap(), 100, 0) }
        val peers = HashMap(mapOf("a" to replica(2, "b", "asker"), "b" to replica(3, "a", "asker")))
        peers.values.forEach { it.replaceAll(emptyMap(), 100, 0) }
        val endsSeenByUsers = ArrayList<Pair<String, Long>>()
        val lateReplies = ArrayList<Pair<String, CompletionSyncReply>>()
        var revision = 100L
        var nowUs = 0L
        repeat(400) { step ->
            nowUs += random.nextInt(400_000)
            val name = if (random.nextBoolean()) "a" else "b"
            when (random.nextInt(8)) {
                0, 1 -> {
                    repeat(if (random.nextInt(12) == 0) 900 else 1) { n ->
                        val job = "j-$step-$n"
                        peers.getValue(name).recordEnd(job, ++revision)
                        endsSeenByUsers += job to nowUs
                    }
                }

                2 -> {
                    if (random.nextInt(20) == 0) {
                        peers[name] = replica(10L + step, "x")
                        if (random.nextBoolean()) peers.getValue(name).replaceAll(emptyMap(), revision, nowUs)
                    }
                }

                3 -> {
                    if (lateReplies.isNotEmpty()) {
                        lateReplies[random.nextInt(lateReplies.size)].let { (from, reply) ->
                            requester.applySyncReply(from, reply)
                        }
                    }
                }

                else -> {
                    val syncRequest = requester.createSyncRequest(name, nowUs) ?: return@repeat
                    val reply = peers.getValue(name).createSyncReply(syncRequest) ?: return@repeat
                    if (random.nextInt(3) == 0) lateReplies += name to reply else requester.applySyncReply(name, reply)
                }
            }
            if (!requester.isCurrent(nowUs)) return@repeat
            val unknownEnds = endsSeenByUsers.filter { (job, at) -> at < nowUs - MAX_STALENESS_US && !requester.hasEnded(job, 0) }
            assertTrue(unknownEnds.isEmpty()) { "seed $seed step $step: unknown ends: ${unknownEnds.take(3)}" }
        }
    }

    @Example
    fun `replies of all other controllers keep a replica current and replies of some do not`() {
        val requester = replica(1, "a", "b").apply { replaceAll(emptyMap(), 100, 0) }
        val (a, b) = List(2) { replica(2L + it, "asker").apply { replaceAll(emptyMap(), 90, 0) } }
        for (second in 1L..60) {
            val nowUs = second * SECOND
            requester.applySyncReply("a", a.createSyncReply(requester.createSyncRequest("a", nowUs)!!)!!)
            if (second <= 30) requester.applySyncReply("b", b.createSyncReply(requester.createSyncRequest("b", nowUs)!!)!!)
            assertTrue(requester.isCurrent(nowUs) == nowUs <= 30 * SECOND + MAX_STALENESS_US) { "after $second s" }
        }
    }

    @Example
    fun `a job that is newer than the last read does not count as ended`() {
        val replica = replica(1).apply { replaceAll(mapOf("j-1" to 5L), 10, 100) }
        assertTrue(!replica.hasEnded("j-1", 50) && !replica.hasEnded("j-2", 200) && replica.hasEnded("j-2", 50)) {
            "only a job that a later read does not find has ended"
        }
        replica.applyChanges(mapOf("j-2" to 11L), mapOf("j-1" to 12L), 12, 300)
        assertTrue(replica.hasEnded("j-1", 400) && !replica.hasEnded("j-2", 200)) { "the changes from the watch were not applied" }
    }

    @Example
    fun `the replica of a single controller is as old as its last read`() {
        val replica = replica(1)
        assertFalse(replica.isCurrent(0)) { "current before the first read" }
        replica.replaceAll(emptyMap(), 1, SECOND)
        assertTrue(replica.isCurrent(SECOND + MAX_STALENESS_US) && !replica.isCurrent(2 * SECOND + MAX_STALENESS_US)) {
            "age does not count from the last read"
        }
    }

    @Example
    fun `the maximum staleness leaves time for a lease and a margin within the cancellation limit`() {
        for ((cancelS, leaseS) in listOf(46L to 26L, 47L to 17L, 60L to 15L)) {
            val maxStalenessUs = JobReplica.maxStalenessUs(cancelS * SECOND, leaseS * SECOND)
            assertTrue(
                maxStalenessUs > 10 * SECOND && maxStalenessUs + leaseS * SECOND * 1.0005 + 2 * SECOND < cancelS * SECOND,
            ) { "cancelS=$cancelS leaseS=$leaseS: $maxStalenessUs" }
        }
    }

    private companion object {
        const val MAX_STALENESS_US = 17 * SECOND
    }
}
