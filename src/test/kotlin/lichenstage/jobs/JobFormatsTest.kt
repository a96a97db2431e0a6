package lichenstage.jobs

import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import lichenstage.model.JobSpec
import lichenstage.model.Priority
import lichenstage.model.Resources
import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.Combinators
import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.constraints.IntRange
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import java.util.BitSet
import java.util.Random

/** Guards against submissions, job records and completed tasks that lose data or exceed their size limits when they are encoded. */
class JobFormatsTest {
    private fun submission() =
        JsonObject(
            """{"uid":"j-000412","batchline":"train","owner":"vision","shape":"batch","urgency":"high","parts":16,
            "cores":8.0,"cards":1.0,"mem_gb":64.0,"bundle":"img-07","image_gb":6.2,"builds":["g8"],"yard":null,
            "same_place":true,"spread":false,"loaners":true,"guess_s":240.0,"snapshot_every_s":30.0,"snapshot_s":4.0,
            "due_s":900.0,"surprise":{"a":1}}""",
        )

    private fun findRefusedField(json: JsonObject): String? =
        try {
            SubmissionCodec.decode(json, 0)
            null
        } catch (e: InvalidSubmissionException) {
            e.field
        }

    @Example
    fun `a submission as documented by the protocol is decoded and its unknown fields are ignored`() {
        val spec = SubmissionCodec.decode(submission(), 7)
        assertTrue(spec.id == "j-000412" && spec.taskCount == 16 && spec.resources == Resources(8.0, 1.0, 64.0)) { "$spec" }
        assertTrue(spec.deadlineAfterUs == 900_000_000L && spec.estimatedRunTimeUs == 240_000_000L && spec.submittedAtUs == 7L) { "$spec" }
        assertTrue(spec.allowedTypes == listOf("g8") && spec.zone == null && spec.requiresSameZone && spec.allowsSpot) { "$spec" }
    }

    /**
     * Tasks that do not fit are left for a later record. Every recorded task must be a completed one. If at least 3 percent of the tasks
     * are completed, more than half of the completed tasks must be recorded.
     */
    @Property(tries = 100, seed = "31")
    fun `completed tasks are truncated to what a small value holds`(
        @ForAll @IntRange(min = 1, max = 100) percent: Int,
        @ForAll seed: Long,
    ) {
        val random = java.util.Random(seed)
        val done = BitSet()
        for (i in 0 until CompletedTaskCodec.TASKS_PER_CHUNK) if (random.nextInt(100) < percent) done.set(i)
        val fitting = CompletedTaskCodec.truncateToFit(done, 0, 2048)
        val text = CompletedTaskCodec.encode(fitting, 0).encode()
        assertTrue(text.length <= 2048) { "$percent percent of the tasks take ${text.length} characters" }
        val read = BitSet().also { CompletedTaskCodec.decode(JsonObject(text), 0, it) }
        assertTrue(read == fitting && (fitting.clone() as BitSet).apply { andNot(done) }.isEmpty) { "tasks that are not completed" }
        assertTrue(fitting.cardinality() * 2 > done.cardinality() || percent < 3) {
            "only ${fitting.cardinality()} of ${done.cardinality()} tasks recorded"
        }
    }

    @Example
    fun `fields that may be null may be missing`() {
        val json = submission()
        listOf("builds", "yard", "due_s").forEach { json.remove(it) }
        val spec = SubmissionCodec.decode(json, 0)
        assertTrue(spec.allowedTypes == null && spec.zone == null && spec.deadlineAfterUs == null) { "$spec" }
    }

    @Property(tries = 300, seed = "4711")
    fun `every invalid value is refused with the name of its field`(
        @ForAll("wrongField") wrongField: Pair<String, Any?>,
    ) {
        val json = submission().put(wrongField.first, wrongField.second)
        assertEquals(wrongField.first, findRefusedField(json)) { "${wrongField.first} = ${wrongField.second}: ${findRefusedField(json)}" }
    }

    @Provide
    fun wrongField(): Arbitrary<Pair<String, Any?>> {
        val textFields = listOf("batchline", "owner", "bundle").map { it to listOf<Any?>(null, "", 5, true, "x".repeat(300)) }
        val amountFields =
            listOf("cards", "mem_gb", "image_gb", "guess_s", "snapshot_every_s", "snapshot_s").map {
                it to listOf<Any?>(null, -0.5, "4", true, Double.POSITIVE_INFINITY, 1e300)
            }
        val otherFields =
            listOf(
                "uid" to listOf<Any?>(null, "j-", "J-1", "j-x", "job-1", 4, "j-1/2", "j- 1"),
                "shape" to listOf<Any?>(null, "gang", 1),
                "urgency" to listOf<Any?>(null, "HIGH", "", 3),
                "parts" to listOf<Any?>(null, 0, -1, 1.5, 100_001, "3", 1e18),
                "cores" to listOf<Any?>(null, 0.0, -1.0, "1"),
                "builds" to listOf<Any?>("g8", JsonArray().add(3), JsonObject()),
                "yard" to listOf<Any?>(3, ""),
                "same_place" to listOf<Any?>(null, 1, "true"),
                "spread" to listOf<Any?>(null, "no"),
                "loaners" to listOf<Any?>(null, 0),
                "due_s" to listOf<Any?>(-1.0, "soon", 1e300),
            )
        return Arbitraries.of((textFields + amountFields + otherFields).flatMap { (field, values) -> values.map { field to it } })
    }

    @Property(tries = 200, seed = "4712")
    fun `a decoded record equals the job that was encoded`(
        @ForAll("specs") spec: JobSpec,
    ) {
        val read = JobRecordCodec.decode(JsonObject(JobRecordCodec.encode(spec).encode()))
        assertEquals(spec, read) { "$spec became $read" }
    }

    @Provide
    fun specs(): Arbitrary<JobSpec> {
        val numbers = Arbitraries.integers().between(1, 100_000)
        val flags = Arbitraries.of(true, false)
        return Combinators.combine(numbers, flags, flags, Arbitraries.of(Priority.entries), numbers, numbers).`as` { n, a, b, p, x, y ->
            JobSpec(
                "j-$n",
                "class",
                "team",
                p,
                n,
                Resources(x / 8.0, y / 16.0, n.toDouble()),
                if (a) listOf("g8", "c4") else null,
                if (b) "zone" else null,
                a,
                b,
                !a,
                "img",
                y / 10.0,
                x.toLong(),
                y.toLong(),
                n.toLong(),
                if (b) x.toLong() else null,
                n * 1_000_000_007L,
            )
        }
    }

    @Property(tries = 150, seed = "4713")
    fun `any pattern of completed tasks survives encoding and fits a value`(
        @ForAll @IntRange(min = 1, max = 100_000) tasks: Int,
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        val density = random.nextInt(101)
        val done = BitSet()
        for (i in 0 until tasks) if (random.nextInt(100) < density) done.set(i)
        val read = BitSet()
        for (chunk in 0 until CompletedTaskCodec.chunkCount(tasks)) {
            val text = CompletedTaskCodec.encode(done, chunk).encode()
            assertTrue(text.length < 4 * 1024) { "chunk $chunk of $tasks tasks takes ${text.length} characters" }
            CompletedTaskCodec.decode(JsonObject(text), chunk, read)
        }
        assertEquals(done, read) { "$tasks tasks, seed $seed" }
    }
}
