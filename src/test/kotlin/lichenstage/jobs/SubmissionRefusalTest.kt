package lichenstage.jobs

import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.runTest
import lichenstage.cluster.UserVerb
import lichenstage.standin.submission
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import java.util.Random

/** Guards against a submission that can never be accepted but is not refused at once with the right status and field. */
@OptIn(ExperimentalCoroutinesApi::class)
class SubmissionRefusalTest : JobsActorFixture() {
    @Example
    fun `unknown, malformed and too many dependencies are refused and valid ones are accepted`() =
        runTest {
            val store = UnreliableStore(Random(1), backgroundScope)
            val actor = actor(store, backgroundScope)

            suspend fun submitUntilDecided(
                n: Int,
                waitsOn: Any?,
            ): Reply {
                while (true) {
                    val reply = actor.ask(UserVerb.SUBMIT, submission(n, 2, "red", 5.0).put("waits_on", waitsOn).encode())!!
                    if (reply.status < 500) return reply
                }
            }

            fun assertRefused(
                reply: Reply,
                status: Int,
            ) = assertTrue(
                reply.status == status && reply.body.getString("field") == "waits_on",
            ) { "$status: ${reply.status} ${reply.body}" }
            assertRefused(submitUntilDecided(1, JsonArray(listOf("j-99"))), 422)
            assertRefused(submitUntilDecided(1, JsonArray(listOf("j-1"))), 400)
            assertRefused(submitUntilDecided(1, JsonArray(listOf(5))), 400)
            assertRefused(submitUntilDecided(1, "j-2"), 400)
            assertRefused(submitUntilDecided(1, JsonArray((1..47).map { "j-1$it" })), 400)
            for ((n, empty) in listOf(null, JsonArray()).withIndex()) {
                val reply = submitUntilDecided(10 + n, empty)
                assertTrue(reply.status in 200..201) { "${reply.status} ${reply.body}" }
            }
            store.finish("j-10")
            val reply = submitUntilDecided(20, JsonArray(listOf("j-10", "j-11", "j-11")))
            assertTrue(reply.status in 200..201) { "${reply.status} ${reply.body}" }
            assertEquals(
                listOf("j-10", "j-11"),
                JobRecordCodec.decodeDependencies(store.entries.getValue("j/j-20").value),
            ) { "a repeated dependency must be stored once" }
        }

    @Example
    fun `a job that cannot run or lacks a field is refused with the field and a job never submitted is unknown`() =
        runTest {
            val store = UnreliableStore(Random(1), backgroundScope)
            val actor = actor(store, backgroundScope)

            suspend fun requestUntilDecided(
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
                    { o: JsonObject -> o.put("owner", "green") }.toUnit() to (422 to "owner"),
                    { o: JsonObject -> o.put("cores", 9.0) }.toUnit() to (422 to "builds"),
                    { o: JsonObject -> o.put("cores", 17.0) }.toUnit() to (422 to "cores"),
                    { o: JsonObject -> o.put("yard", "nowhere") }.toUnit() to (422 to "builds"),
                    { o: JsonObject -> o.put("parts", 0) }.toUnit() to (400 to "parts"),
                    { o: JsonObject -> o.put("mem_gb", -1) }.toUnit() to (400 to "mem_gb"),
                ) +
                    submission(1, 2, "red", 5.0).fieldNames().filter { it !in setOf("uid", "due_s", "yard", "builds") }.associate { field ->
                        { o: JsonObject -> o.remove(field) }.toUnit() to (400 to field)
                    }
            for ((change, expected) in refusals) {
                val reply = requestUntilDecided(UserVerb.SUBMIT, submission(1, 2, "red", 5.0).apply(change).encode())
                assertTrue(reply.status to reply.body.getString("field") == expected) { "$expected: ${reply.status} ${reply.body}" }
            }
            assertTrue(
                requestUntilDecided(UserVerb.SHOW, "j-1").status == 404 && requestUntilDecided(UserVerb.CANCEL, "j-1").status == 404,
            ) {
                "a job that was never accepted must be unknown"
            }
        }

    private fun ((JsonObject) -> Any?).toUnit(): JsonObject.() -> Unit = { this@toUnit(this) }
}
