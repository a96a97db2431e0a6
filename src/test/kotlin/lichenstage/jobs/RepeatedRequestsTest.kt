package lichenstage.jobs

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

/**
 * Guards against contradictory replies about a job. Three controllers share a state service that is slow, refuses requests, sends no
 * reply, and applies transactions without a reply late. Users repeat submissions, request the state and cancel while the last task ends.
 */
@OptIn(ExperimentalCoroutinesApi::class)
class RepeatedRequestsTest : JobsActorFixture() {
    /** A user with one job, who sends requests to any controller and records impossible replies in [violations]. */
    private class User(
        private val n: Int,
        private val random: Random,
        private val actors: List<JobsActor>,
        private val store: UnreliableStore,
        private val violations: MutableList<String>,
        private val ask: suspend JobsActor.(UserVerb, String) -> Reply?,
    ) {
        private val id = "j-$n"
        private var endStatus: String? = null
        private var isCancelRequested = false
        private var isFinishRequested = false

        suspend fun run() =
            coroutineScope {
                val text = submission(n, 2, "red", 5.0).encode()
                var submitReply = request(UserVerb.SUBMIT, text)
                while (submitReply?.status !in listOf(200, 201)) {
                    if (submitReply != null && submitReply.status < 500) violations += "$id: submission refused with ${submitReply.status}"
                    delay(1000)
                    submitReply = request(UserVerb.SUBMIT, text)
                }
                checkReply(submitReply!!)
                launch {
                    delay(random.nextLong(30_000))
                    isFinishRequested = true
                    store.finish(id)
                }
                if (random.nextInt(3) > 0) {
                    launch {
                        delay(random.nextLong(30_000))
                        isCancelRequested = true
                        while (true) {
                            val reply = request(UserVerb.CANCEL, id)
                            reply?.let(::checkReply)
                            if (reply?.status == 200) break
                            delay(1000)
                        }
                        if (endStatus == null) violations += "$id: neither done nor cancelled after a cancellation"
                    }
                }
                repeat(12) {
                    delay(1000 + random.nextLong(5000))
                    val verb = if (random.nextInt(3) == 0) UserVerb.SUBMIT else UserVerb.SHOW
                    // A repeated submission may be malformed, because the job already exists.
                    val changedSubmission =
                        submission(n, 2, "red", 5.0).apply { remove(listOf("parts", "bundle", "loaners", "x").random(random)) }
                    request(verb, if (verb == UserVerb.SUBMIT) changedSubmission.encode() else id)?.let(::checkReply)
                }
            }

        private fun <T> List<T>.random(random: Random) = this[random.nextInt(size)]

        private suspend fun request(
            verb: UserVerb,
            text: String,
        ) = actors.random(random).ask(verb, text)

        private fun checkReply(reply: Reply) {
            if (reply.status >= 500) {
                if (reply.retryAfterS == null) violations += "$id: ${reply.status} without Retry-After"
                return
            }
            val status = reply.body.getString("status")
            if (reply.status !in listOf(200, 201)) violations += "$id: accepted job not found: ${reply.status} ${reply.body}"
            if (status == "done" && !isFinishRequested) violations += "$id: done before its last task ended"
            if (status == "cancelled" && !isCancelRequested) violations += "$id: cancelled without a request"
            if (endStatus != null && status != endStatus) violations += "$id: status changed from final $endStatus to $status"
            if (status == "done" || status == "cancelled") endStatus = status
        }
    }

    @Property(tries = 60, seed = "5")
    fun `replies about a job are consistent whatever the outcome of the transactions`(
        @ForAll seed: Long,
    ) = runTest {
        val random = Random(seed)
        val store = UnreliableStore(random, backgroundScope)
        val actors = List(3) { actor(store, backgroundScope) }
        val violations = ArrayList<String>()
        coroutineScope {
            repeat(12) { n ->
                launch { User(n, random, actors, store, violations) { verb, text -> ask(verb, text) }.run() }
            }
        }
        assertTrue(violations.isEmpty()) { "seed $seed: ${violations.take(4)}" }
    }
}
