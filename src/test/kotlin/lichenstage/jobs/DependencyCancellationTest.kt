package lichenstage.jobs

import io.vertx.core.json.JsonArray
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import lichenstage.cluster.UserVerb
import lichenstage.standin.submission
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.junit.jupiter.api.Assertions.assertTrue
import java.util.Random

/** Guards against dependents that stay open if a job is cancelled while they are being submitted or requested by users. */
@OptIn(ExperimentalCoroutinesApi::class)
class DependencyCancellationTest : JobsActorFixture() {
    /**
     * The four jobs of a diamond are submitted one after the other, each through any controller. The first job is cancelled at some moment,
     * possibly between two submissions. In requests from 20 seconds after the cancellation on, no controller may report any of the jobs as
     * open. No reply may revert a final status, and in the end all four jobs must be cancelled.
     */
    @Property(tries = 60, seed = "6")
    fun `all dependents of a cancelled job are cancelled whatever the order of messages`(
        @ForAll seed: Long,
    ) = runTest {
        val random = Random(seed)
        val store = UnreliableStore(random, backgroundScope)
        val actors = List(3) { actor(store, backgroundScope) }
        val violations = ArrayList<String>()
        val endStatuses = HashMap<String, String>()
        var cancelledAtMs = Long.MAX_VALUE
        val dependencies = mapOf(1 to emptyList(), 2 to listOf(1), 3 to listOf(1), 4 to listOf(2, 3))

        suspend fun ask(
            verb: UserVerb,
            text: String,
        ): Reply? = actors[random.nextInt(3)].ask(verb, text)

        fun checkReply(
            id: String,
            requestedAtMs: Long,
            reply: Reply,
        ) {
            if (reply.status >= 500) return
            val status = reply.body.getString("status") ?: "${reply.status}"
            if (reply.status !in listOf(200, 201)) violations += "$id: ${reply.status} ${reply.body}"
            endStatuses[id]?.let { if (status != it) violations += "$id: status changed from final $it to $status" }
            if (status == "done" || status == "cancelled") endStatuses[id] = status
            if (status in listOf("pending", "running") && requestedAtMs - 20_000 > cancelledAtMs) violations += "$id: still $status"
        }
        coroutineScope {
            launch {
                delay(random.nextLong(12_000))
                while (true) {
                    val reply = ask(UserVerb.CANCEL, "j-1")
                    if (reply?.status == 200) {
                        checkReply("j-1", testScheduler.currentTime, reply)
                        if (endStatuses["j-1"] == "cancelled") cancelledAtMs = testScheduler.currentTime
                        break
                    }
                    delay(1000)
                }
            }
            launch { repeat(40) { delay(1000).also { (1..4).forEach { n -> if (random.nextInt(15) == 0) store.finish("j-$n") } } } }
            for ((n, dependencyNumbers) in dependencies) {
                val text = submission(n, 2, "red", 5.0).put("waits_on", JsonArray(dependencyNumbers.map { "j-$it" })).encode()
                while (true) {
                    val requestedAtMs = testScheduler.currentTime
                    val reply = ask(UserVerb.SUBMIT, text)
                    if (reply != null) checkReply("j-$n", requestedAtMs, reply)
                    if (reply?.status == 200 || reply?.status == 201) break
                    delay(1000)
                }
                launch {
                    repeat(30) {
                        delay(500 + random.nextLong(4000))
                        val requestedAtMs = testScheduler.currentTime
                        ask(UserVerb.SHOW, "j-$n")?.let { checkReply("j-$n", requestedAtMs, it) }
                    }
                }
                delay(random.nextLong(4000))
            }
        }
        if (endStatuses["j-1"] == "cancelled") {
            (2..4).forEach {
                if (endStatuses["j-$it"] != "cancelled") {
                    violations += "j-$it is ${endStatuses["j-$it"]} although j-1 is cancelled"
                }
            }
        }
        assertTrue(violations.isEmpty()) { "seed $seed: ${violations.take(4)}" }
    }
}
