package lichenstage.jobs

import io.vertx.core.json.JsonObject
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withTimeoutOrNull
import lichenstage.app.Team
import lichenstage.cluster.Forwarder
import lichenstage.cluster.Shape
import lichenstage.cluster.UserVerb
import lichenstage.fleet.Flavor
import lichenstage.standin.submission
import lichenstage.state.Change
import lichenstage.state.Committed
import lichenstage.state.Entry
import lichenstage.state.Read
import lichenstage.state.Store
import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.junit.platform.commons.util.Preconditions.condition
import java.util.Random

/**
 * What users are told, through three controllers that share a state service which is slow, refuses, gives no answer and carries such
 * transactions out late: submissions that are repeated, odd ones, questions and cancellations that meet the end of the last task.
 */
@OptIn(ExperimentalCoroutinesApi::class)
class JobsActorTest {
    private class SlowStore(
        private val random: Random,
        private val scope: CoroutineScope,
    ) : Store {
        val entries = HashMap<String, Entry>()
        private var revision = 0L

        override suspend fun get(
            key: String,
            timeoutMs: Long,
        ): Read {
            delay(1 + random.nextLong(80))
            if (random.nextInt(12) == 0) return Read.Unavailable
            return entries[key]?.let { Read.Found(it) } ?: Read.Missing
        }

        override suspend fun txn(
            guards: Map<String, Long>,
            changes: List<Change>,
            timeoutMs: Long,
            urgent: Boolean,
        ): Committed {
            delay(1 + random.nextLong(80))
            return when (random.nextInt(10)) {
                0 -> Committed.NotExecuted
                1 -> Committed.Unknown.also { apply(guards, changes) }
                2 -> Committed.Unknown.also { scope.launch { delay(2000 + random.nextLong(10_000)).also { apply(guards, changes) } } }
                else -> apply(guards, changes)
            }
        }

        fun apply(
            guards: Map<String, Long>,
            changes: List<Change>,
        ): Committed {
            val failed = guards.filter { (key, stamp) -> (entries[key]?.stamp ?: 0) != stamp }.keys
            if (failed.isNotEmpty()) return Committed.Refused(failed.toList())
            revision++
            for (change in changes) {
                when (change) {
                    is Change.Put -> entries[change.key] = Entry(change.key, change.value, revision)
                    is Change.Delete -> entries.remove(change.key)
                }
            }
            return Committed.Yes(revision)
        }

        /** The leader's word that all tasks are done. */
        fun finish(id: String): Boolean {
            val open = entries["j/$id"] ?: return false
            val record = JsonObject().put("status", "done").put("tasks", 2)
            return apply(mapOf("j/$id" to open.stamp), listOf(Change.Delete("j/$id"), Change.Put("x/$id", record))) is Committed.Yes
        }
    }

    private fun actor(
        store: Store,
        scope: CoroutineScope,
    ): JobsActor {
        val flavors = mapOf("t" to Flavor("t", Shape(8.0, 0.0, 64.0), 1.0, 0.3, 1, 50.0, 1.0, listOf("a")))
        val teams = mapOf("red" to Team("red", 0.0, 16.0, 0.0, Double.POSITIVE_INFINITY))
        val replica = JobReplica(1, null, 1)
        return JobsActor(store, 12, { flavors }, teams, { true }, Forwarder({ null }) { _, _ -> }, replica, replica::learned, scope)
    }

    private suspend fun JobsActor.ask(
        verb: UserVerb,
        text: String,
    ): Reply? {
        val answer = CompletableDeferred<Reply>()
        tell(JobsMessage.Asked(verb, text) { answer.complete(it) })
        // As users do: an answer that comes later is not heard.
        return withTimeoutOrNull(5000) { answer.await() }
    }

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
        condition(broken.isEmpty()) { "seed $seed: ${broken.take(4)}" }
    }

    @Example
    fun `what can't run or lacks a field is refused at once with the field, and what nobody submitted is unknown`() =
        runTest {
            val store = SlowStore(Random(1), backgroundScope)
            val actor = actor(store, backgroundScope)

            suspend fun settled(
                verb: UserVerb,
                text: String,
            ): Reply {
                while (true) {
                    val reply = actor.ask(verb, text)!!
                    if (reply.status < 500) return reply
                }
            }
            val refusals =
                mapOf<JsonObject.() -> Unit, Pair<Int, String>>(
                    { o: JsonObject -> o.put("owner", "green") }.unit() to (422 to "owner"),
                    { o: JsonObject -> o.put("cores", 9.0) }.unit() to (422 to "builds"),
                    { o: JsonObject -> o.put("cores", 17.0) }.unit() to (422 to "cores"),
                    { o: JsonObject -> o.put("yard", "nowhere") }.unit() to (422 to "builds"),
                    { o: JsonObject -> o.put("parts", 0) }.unit() to (400 to "parts"),
                    { o: JsonObject -> o.put("mem_gb", -1) }.unit() to (400 to "mem_gb"),
                ) +
                    submission(1, 2, "red", 5.0).fieldNames().filter { it !in setOf("uid", "due_s", "yard", "builds") }.associate { field ->
                        { o: JsonObject -> o.remove(field) }.unit() to (400 to field)
                    }
            for ((change, expected) in refusals) {
                val reply = settled(UserVerb.SUBMIT, submission(1, 2, "red", 5.0).apply(change).encode())
                condition(reply.status to reply.body.getString("field") == expected) { "$expected: ${reply.status} ${reply.body}" }
            }
            condition(settled(UserVerb.SHOW, "j-1").status == 404 && settled(UserVerb.CANCEL, "j-1").status == 404) { "not unknown" }
        }

    private fun ((JsonObject) -> Any?).unit(): JsonObject.() -> Unit = { this@unit(this) }
}
