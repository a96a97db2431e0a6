package lichenstage.cluster

import io.vertx.core.json.JsonObject
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import lichenstage.jobs.CompletedTaskRanges
import lichenstage.jobs.EndStatus
import lichenstage.jobs.FinishedJob
import lichenstage.jobs.JobOutcome
import lichenstage.jobs.JobRecordCodec
import lichenstage.model.JobSpec
import lichenstage.model.MachineRecordCodec
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import java.util.BitSet
import java.util.HexFormat

/**
 * What the version in production writes, in `production.json` by its own code (deploy/service.toml names it): this version reads it,
 * and writes the same to the last byte, so that either takes the other's word while both serve.
 */
@OptIn(ExperimentalSerializationApi::class)
class ProductionSamplesTest {
    /** The fields of a leader's frame as production reads them, by the names that it writes. */
    @Serializable
    private data class ProductionLeaderFrame(
        val part: String,
        val term: Long,
        val seq: Long,
        val ackTerm: Long,
        val ackVersion: Long,
        val starts: List<StartOrder> = emptyList(),
        val stops: List<AttemptOrder> = emptyList(),
        val clears: List<AttemptOrder> = emptyList(),
        val closed: Set<String>? = null,
    )

    /** An owner of production's version passes over orders to save, and takes all else. */
    @Example
    fun `orders to save are passed over by production, and are not written where there are none`() {
        val codec =
            Cbor {
                ignoreUnknownKeys = true
                encodeDefaults = true
            }
        val stop = AttemptOrder("m", "j-1/0", 7)
        val plain = PlacementFrame("z/0", 1, 2, 3, 4, stops = listOf(stop), cordoned = setOf("m"))
        val saving = plain.copy(saves = listOf(SaveOrder("m", "j-1/1", 8, 5)))
        for (frame in listOf(plain, saving)) {
            val read =
                codec.decodeFromByteArray(
                    ProductionLeaderFrame.serializer(),
                    codec.encodeToByteArray(PlacementFrame.serializer(), frame),
                )
            val expected = ProductionLeaderFrame("z/0", 1, 2, 3, 4, stops = listOf(stop), closed = setOf("m"))
            assertEquals(expected, read) { "$read" }
        }
        val names = listOf(plain, saving).map { String(FrameCodec.encode(it), Charsets.ISO_8859_1).contains("saves") }
        assertEquals(listOf(false, true), names) { "$names" }
    }

    /** The samples are named as production named the classes; these have another name now. Their bytes name them as before. */
    private val renamedFrames = mapOf("PledgeRequest" to "MoratoriumRequest", "Pledge" to "MoratoriumGrant")

    private fun currentName(sample: String) = renamedFrames[sample] ?: sample

    private val samples = JsonObject(javaClass.getResource("/production.json")!!.readText())

    @Example
    fun `frames are read, and written as production writes them`() {
        val frames = samples.getJsonObject("frames")
        for (name in frames.fieldNames()) {
            val bytes = HexFormat.of().parseHex(frames.getString(name))
            val frame = FrameCodec.decode(bytes)
            assertEquals(currentName(name), frame::class.simpleName) { "$name is read as $frame" }
            assertTrue(FrameCodec.encode(frame).contentEquals(bytes)) { "$name is written otherwise" }
        }
        val kinds =
            Frame::class.java.permittedSubclasses
                ?.map { it.simpleName }
                ?.toSet()
        assertEquals(
            kinds,
            frames.fieldNames().mapTo(HashSet(), ::currentName),
        ) { "frames that production does not know, or no sample: $kinds" }
    }

    @Example
    fun `records are read, and those of jobs that need no others are written as production writes them`() {
        val records = samples.getJsonObject("records")
        val spec = JobRecordCodec.decode(records.getJsonObject("j"))
        assertTrue(JobRecordCodec.encode(spec) == records.getJsonObject("j") && spec.dependencies.isEmpty()) { "$spec" }
        val done = BitSet().also { CompletedTaskRanges.decode(records.getJsonObject("d"), 0, it) }
        assertTrue(CompletedTaskRanges.encode(done, 0) == records.getJsonObject("d") && done.cardinality() == 6) { "$done" }
        val machines = MachineRecordCodec.decode(records.getJsonObject("m"))
        assertEquals(records.getJsonObject("m"), MachineRecordCodec.encode(machines)) { "$machines" }
    }

    /** All that production reads of a record is there, in the form in which it reads it; what is new beside it is passed over. */
    @Example
    fun `what is new in a record leaves all that production reads of it`() {
        val records = samples.getJsonObject("records")
        val plain = JobRecordCodec.decode(records.getJsonObject("j"))
        val spec: JobSpec = plain.copy(dependencies = listOf("j-7"))
        val written = JsonObject(JobRecordCodec.encode(spec).encode())
        assertTrue(
            records.getJsonObject("j").fieldNames().all { written.getValue(it) == records.getJsonObject("j").getValue(it) },
        ) { "$written" }
        assertEquals(spec, JobRecordCodec.decode(written)) { "what it needs is lost" }
        val over = JsonObject(JobRecordCodec.encodeFinished(FinishedJob(JobOutcome(EndStatus.DONE, 5), 12)).encode())
        assertTrue(
            records.getJsonObject("x").fieldNames().all { over.getValue(it) == records.getJsonObject("x").getValue(it) },
        ) { "$over" }
    }
}
