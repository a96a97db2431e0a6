package lichenstage.jobs

import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestCoroutineScheduler
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withTimeoutOrNull
import lichenstage.cluster.RequestForwarder
import lichenstage.cluster.UserVerb
import lichenstage.common.Clock
import lichenstage.common.MILLI
import lichenstage.config.Team
import lichenstage.model.MachineType
import lichenstage.model.Resources
import lichenstage.standin.submission
import lichenstage.state.Change
import lichenstage.state.KeyValueStore
import lichenstage.state.MemoryStore
import lichenstage.state.Precondition
import lichenstage.state.ReadResult
import lichenstage.state.TransactionResult
import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
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
    ) : MemoryStore() {
        override suspend fun get(
            key: String,
            timeoutMs: Long,
        ): ReadResult {
            delay(1 + random.nextLong(80))
            if (random.nextInt(12) == 0) return ReadResult.Unavailable
            return read(key)
        }

        override suspend fun commit(
            preconditions: List<Precondition>,
            changes: List<Change>,
            timeoutMs: Long,
            urgent: Boolean,
        ): TransactionResult {
            delay(1 + random.nextLong(80))
            return when (random.nextInt(10)) {
                0 -> {
                    TransactionResult.Rejected
                }

                1 -> {
                    TransactionResult.Indeterminate.also { apply(preconditions, changes) }
                }

                2 -> {
                    TransactionResult.Indeterminate.also {
                        scope.launch {
                            delay(
                                2000 + random.nextLong(10_000),
                            ).also { apply(preconditions, changes) }
                        }
                    }
                }

                else -> {
                    apply(preconditions, changes)
                }
            }
        }

        /** The leader's word that all tasks are done, which there is only once all that the job needs is recorded as done. */
        fun finish(id: String): Boolean {
            val open = entries["j/$id"] ?: return false
            if (JobRecordCodec.dependencies(open.value).any { entries["x/$it"]?.value?.getString("status") != "done" }) return false
            val record = JsonObject().put("status", "done").put("tasks", 2)
            return apply(
                listOf(Precondition("j/$id", open.modRevision)),
                listOf(Change.Delete("j/$id"), Change.Put("x/$id", record)),
            ) is TransactionResult.Committed
        }
    }

    private fun actor(
        store: KeyValueStore,
        scope: CoroutineScope,
    ): JobsActor {
        val machineTypes = mapOf("t" to MachineType("t", Resources(8.0, 0.0, 64.0), 1.0, 0.3, 1, 50.0, 1.0, listOf("a")))
        val teams = mapOf("red" to Team("red", 0.0, 16.0, 0.0, Double.POSITIVE_INFINITY))
        val replica = JobReplica(1, null, 1)
        val dependencyGraph = DependencyGraph()
        val clock = Clock { scope.coroutineContext[TestCoroutineScheduler]!!.currentTime * MILLI }
        if (store is SlowStore) scope.launch { follow(store, replica, dependencyGraph, clock) }
        val limits = RecordLimits(12, 8192)
        val forwarder = RequestForwarder({ null }) { _, _ -> }
        return JobsActor(
            store,
            PeerFallback(forwarder) { true },
            OpenJobs(replica, dependencyGraph),
            AdmissionPolicy(teams, limits) { machineTypes },
            limits.maxPreconditions,
            clock,
            scope,
            replica::recordEnd,
        )
    }

    /** As the feed does it, but late: now and then nothing is heard for seconds. */
    private suspend fun follow(
        store: SlowStore,
        replica: JobReplica,
        dependencyGraph: DependencyGraph,
        clock: Clock,
    ) {
        val random = Random(7)
        while (true) {
            delay(if (random.nextInt(40) == 0) 8000 else 50 + random.nextLong(300))
            val open = store.entries.filterKeys { it.startsWith("j/") }.mapKeys { it.key.removePrefix("j/") }
            open.forEach { (id, entry) -> dependencyGraph.jobOpened(id, JobRecordCodec.dependencies(entry.value)) }
            replica.replaceAll(open.mapValues { it.value.modRevision }, store.revision, clock.now()).forEach(dependencyGraph::jobClosed)
            for (id in dependencyGraph.unresolved(8)) {
                val record = store.entries["x/$id"]?.value ?: continue
                dependencyGraph.outcomeRecorded(id, JobRecordCodec.decodeFinished(record).outcome)
            }
        }
    }

    private suspend fun JobsActor.ask(
        verb: UserVerb,
        text: String,
    ): Reply? {
        val answer = CompletableDeferred<Reply>()
        tell(JobsMessage.UserRequest(verb, text) { answer.complete(it) })
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
        assertTrue(broken.isEmpty()) { "seed $seed: ${broken.take(4)}" }
    }

    /**
     * A pipeline of four (a diamond), submitted one after the other through any controller, the first of which is called off at some
     * moment, also between two submissions: from a while after, no controller calls one of the others anything else, and no answer
     * goes back.
     */
    @Property(tries = 60, seed = "6")
    fun `with a job all that need it are cancelled, in whatever order words come`(
        @ForAll seed: Long,
    ) = runTest {
        val random = Random(seed)
        val store = SlowStore(random, backgroundScope)
        val actors = List(3) { actor(store, backgroundScope) }
        val broken = ArrayList<String>()
        val over = HashMap<String, String>()
        var cancelledMs = Long.MAX_VALUE
        val dependencies = mapOf(1 to emptyList(), 2 to listOf(1), 3 to listOf(1), 4 to listOf(2, 3))

        suspend fun ask(
            verb: UserVerb,
            text: String,
        ): Reply? = actors[random.nextInt(3)].ask(verb, text)

        fun note(
            id: String,
            askedMs: Long,
            reply: Reply,
        ) {
            if (reply.status >= 500) return
            val status = reply.body.getString("status") ?: "${reply.status}"
            if (reply.status !in listOf(200, 201)) broken += "$id: ${reply.status} ${reply.body}"
            over[id]?.let { if (status != it) broken += "$id: went back from $it to $status" }
            if (status == "done" || status == "cancelled") over[id] = status
            if (status in listOf("pending", "running") && askedMs - 20_000 > cancelledMs) broken += "$id: $status long after"
        }
        coroutineScope {
            launch {
                delay(random.nextLong(12_000))
                while (true) {
                    val reply = ask(UserVerb.CANCEL, "j-1")
                    if (reply?.status == 200) {
                        note("j-1", testScheduler.currentTime, reply)
                        if (over["j-1"] == "cancelled") cancelledMs = testScheduler.currentTime
                        break
                    }
                    delay(1000)
                }
            }
            launch { repeat(40) { delay(1000).also { (1..4).forEach { n -> if (random.nextInt(15) == 0) store.finish("j-$n") } } } }
            for ((n, earlier) in dependencies) {
                val text = submission(n, 2, "red", 5.0).put("waits_on", JsonArray(earlier.map { "j-$it" })).encode()
                while (true) {
                    val asked = testScheduler.currentTime
                    val reply = ask(UserVerb.SUBMIT, text)
                    if (reply != null) note("j-$n", asked, reply)
                    if (reply?.status == 200 || reply?.status == 201) break
                    delay(1000)
                }
                launch {
                    repeat(30) {
                        delay(500 + random.nextLong(4000))
                        val asked = testScheduler.currentTime
                        ask(UserVerb.SHOW, "j-$n")?.let { note("j-$n", asked, it) }
                    }
                }
                delay(random.nextLong(4000))
            }
        }
        if (over["j-1"] == "cancelled") {
            (2..4).forEach { if (over["j-$it"] != "cancelled") broken += "j-$it is ${over["j-$it"]} though j-1 is cancelled" }
        }
        assertTrue(broken.isEmpty()) { "seed $seed: ${broken.take(4)}" }
    }

    @Example
    fun `names of jobs that were never accepted, too many and malformed ones are refused, others not`() =
        runTest {
            val store = SlowStore(Random(1), backgroundScope)
            val actor = actor(store, backgroundScope)

            suspend fun submitted(
                n: Int,
                waitsOn: Any?,
            ): Reply {
                while (true) {
                    val reply = actor.ask(UserVerb.SUBMIT, submission(n, 2, "red", 5.0).put("waits_on", waitsOn).encode())!!
                    if (reply.status < 500) return reply
                }
            }

            fun refused(
                reply: Reply,
                status: Int,
            ) = assertTrue(
                reply.status == status && reply.body.getString("field") == "waits_on",
            ) { "$status: ${reply.status} ${reply.body}" }
            refused(submitted(1, JsonArray(listOf("j-99"))), 422)
            refused(submitted(1, JsonArray(listOf("j-1"))), 400)
            refused(submitted(1, JsonArray(listOf(5))), 400)
            refused(submitted(1, "j-2"), 400)
            refused(submitted(1, JsonArray((1..47).map { "j-1$it" })), 400)
            for ((n, empty) in listOf(null, JsonArray()).withIndex()) {
                val reply = submitted(10 + n, empty)
                assertTrue(reply.status in 200..201) { "${reply.status} ${reply.body}" }
            }
            store.finish("j-10")
            val reply = submitted(20, JsonArray(listOf("j-10", "j-11", "j-11")))
            assertTrue(reply.status in 200..201) { "${reply.status} ${reply.body}" }
            assertEquals(listOf("j-10", "j-11"), JobRecordCodec.dependencies(store.entries.getValue("j/j-20").value)) { "named twice" }
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
                assertTrue(reply.status to reply.body.getString("field") == expected) { "$expected: ${reply.status} ${reply.body}" }
            }
            assertTrue(settled(UserVerb.SHOW, "j-1").status == 404 && settled(UserVerb.CANCEL, "j-1").status == 404) { "not unknown" }
        }

    private fun ((JsonObject) -> Any?).unit(): JsonObject.() -> Unit = { this@unit(this) }
}
