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
 * Three controllers share a state service that is slow, refuses, gives no answer and carries such transactions out late: users repeat
 * submissions, ask and cancel while the last task ends.
 */
@OptIn(ExperimentalCoroutinesApi::class)
class RepeatedRequestsTest : JobsActorFixture() {
    /** One user with one job, who asks through any controller and notes what can't be. */
    private class User(
        private val n: Int,
        private val random: Random,
        private val actors: List<JobsActor>,
        private val store: SlowStore,
        private val broken: MutableList<String>,
        private val ask: suspend JobsActor.(UserVerb, String) -> Reply?,
    ) {
        private val id = "j-$n"
        private var over: String? = null
        private var askedToCancel = false
        private var finished = false

        suspend fun live() =
            coroutineScope {
                val text = submission(n, 2, "red", 5.0).encode()
                var first = request(UserVerb.SUBMIT, text)
                while (first?.status !in listOf(200, 201)) {
                    if (first != null && first.status < 500) broken += "$id: accepted late or never: ${first.status}"
                    delay(1000)
                    first = request(UserVerb.SUBMIT, text)
                }
                note(first!!)
                launch {
                    delay(random.nextLong(30_000))
                    finished = true
                    store.finish(id)
                }
                if (random.nextInt(3) > 0) {
                    launch {
                        delay(random.nextLong(30_000))
                        askedToCancel = true
                        while (true) {
                            val reply = request(UserVerb.CANCEL, id)
                            reply?.let(::note)
                            if (reply?.status == 200) break
                            delay(1000)
                        }
                        if (over == null) broken += "$id: neither done nor cancelled after a cancellation"
                    }
                }
                repeat(12) {
                    delay(1000 + random.nextLong(5000))
                    val verb = if (random.nextInt(3) == 0) UserVerb.SUBMIT else UserVerb.SHOW
                    // A repeat may look in any way: the job is known.
                    val odd = submission(n, 2, "red", 5.0).apply { remove(listOf("parts", "bundle", "loaners", "x").random(random)) }
                    request(verb, if (verb == UserVerb.SUBMIT) odd.encode() else id)?.let(::note)
                }
            }

        private fun <T> List<T>.random(random: Random) = this[random.nextInt(size)]

        private suspend fun request(
            verb: UserVerb,
            text: String,
        ) = actors.random(random).ask(verb, text)

        private fun note(reply: Reply) {
            if (reply.status >= 500) {
                if (reply.retryAfterS == null) broken += "$id: ${reply.status} does not say when to come again"
                return
            }
            val status = reply.body.getString("status")
            if (reply.status !in listOf(200, 201)) broken += "$id: forgotten, ${reply.status} ${reply.body}"
            if (status == "done" && !finished) broken += "$id: done too early"
            if (status == "cancelled" && !askedToCancel) broken += "$id: cancelled by nobody"
            if (over != null && status != over) broken += "$id: went back from $over to $status"
            if (status == "done" || status == "cancelled") over = status
        }
    }

    @Property(tries = 60, seed = "5")
    fun `however transactions end, users hear one story`(
        @ForAll seed: Long,
    ) = runTest {
        val random = Random(seed)
        val store = SlowStore(random, backgroundScope)
        val actors = List(3) { actor(store, backgroundScope) }
        val broken = ArrayList<String>()
        coroutineScope {
            repeat(12) { n ->
                launch { User(n, random, actors, store, broken) { verb, text -> ask(verb, text) }.live() }
            }
        }
        assertTrue(broken.isEmpty()) { "seed $seed: ${broken.take(4)}" }
    }
}
