package lichenstage.cluster

import io.vertx.core.json.JsonObject
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import lichenstage.jobs.CompletedTaskCodec
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
 * Guards against frames and records that the version in production cannot read, or that this version reads differently, while both
 * versions run during an update.
 *
 * The code of the production version (named in deploy/service.toml) wrote the samples in `production.json`. This version must read them and
 * write the same bytes.
 */
@OptIn(ExperimentalSerializationApi::class)
class ProductionSamplesTest {
    /** The fields of a [LeaderFrame] that the version in production reads, under their serial names. */
    @Serializable
    private data class ProductionLeaderFrame(
        val part: String,
        val term: Long,
        val seq: Long,
        val ackTerm: Long,
        val ackVersion: Long,
        val starts: List<StartCommand> = emptyList(),
        val stops: List<AttemptCommand> = emptyList(),
        val clears: List<AttemptCommand> = emptyList(),
        val closed: Set<String>? = null,
    )

    /** A partition owner that runs the version in production ignores the newer fields and applies all other content of the frame. */
    @Example
    fun `the version in production ignores newer fields, and a frame without values for them omits them`() {
        val codec =
            Cbor {
                ignoreUnknownKeys = true
                encodeDefaults = true
            }
        val stop = AttemptCommand("m", "j-1/0", 7)
        val plain = LeaderFrame("z/0", 1, 2, 3, 4, stops = listOf(stop), cordoned = setOf("m"))
        val saving = plain.copy(checkpointStops = listOf(CheckpointStopCommand("m", "j-1/1", 8, 5)))
        val avoiding = plain.copy(avoidedMachines = mapOf("j-1" to setOf("m")))
        val completing = plain.copy(completeJobs = setOf("j-1"))
        for (frame in listOf(plain, saving, avoiding, completing)) {
            val read =
                codec.decodeFromByteArray(
                    ProductionLeaderFrame.serializer(),
                    codec.encodeToByteArray(LeaderFrame.serializer(), frame),
                )
            val expected = ProductionLeaderFrame("z/0", 1, 2, 3, 4, stops = listOf(stop), closed = setOf("m"))
            assertEquals(expected, read) { "$read" }
        }
        val hasSavesField = listOf(plain, saving).map { String(FrameCodec.encode(it), Charsets.ISO_8859_1).contains("saves") }
        assertEquals(listOf(false, true), hasSavesField) { "$hasSavesField" }
        for ((field, changed) in mapOf("avoid" to avoiding, "complete" to completing)) {
            val hasField = listOf(plain, changed).map { String(FrameCodec.encode(it), Charsets.ISO_8859_1).contains(field) }
            assertEquals(listOf(false, true), hasField) { "$field: $hasField" }
            assertEquals(changed, FrameCodec.decode(FrameCodec.encode(changed)))
        }
    }

    /** The current names of renamed frame classes, by their names in production, which the samples use. Serial names are unchanged. */
    private val renamedFrames =
        mapOf(
            "PledgeRequest" to "MoratoriumRequest",
            "Pledge" to "MoratoriumGrant",
            "PlacementFrame" to "LeaderFrame",
        )

    private fun currentName(sample: String) = renamedFrames[sample] ?: sample

    private val samples = JsonObject(javaClass.getResource("/production.json")!!.readText())

    @Example
    fun `each sample frame is decoded and encoded to the same bytes`() {
        val frames = samples.getJsonObject("frames")
        for (name in frames.fieldNames()) {
            val bytes = HexFormat.of().parseHex(frames.getString(name))
            val frame = FrameCodec.decode(bytes)
            assertEquals(currentName(name), frame::class.simpleName) { "$name was decoded as $frame" }
            assertTrue(FrameCodec.encode(frame).contentEquals(bytes)) { "$name was encoded to other bytes" }
        }
        val kinds =
            Frame::class.java.permittedSubclasses
                ?.map { it.simpleName }
                ?.toSet()
        assertEquals(
            kinds,
            frames.fieldNames().mapTo(HashSet(), ::currentName),
        ) { "the frame classes and the samples differ: $kinds" }
    }

    @Example
    fun `sample records are decoded, and encoded to the same document if the job has no dependencies`() {
        val records = samples.getJsonObject("records")
        val spec = JobRecordCodec.decode(records.getJsonObject("j"))
        assertTrue(JobRecordCodec.encode(spec) == records.getJsonObject("j") && spec.dependencies.isEmpty()) { "$spec" }
        val done = BitSet().also { CompletedTaskCodec.decode(records.getJsonObject("d"), 0, it) }
        assertTrue(CompletedTaskCodec.encode(done, 0) == records.getJsonObject("d") && done.cardinality() == 6) { "$done" }
        val machines = MachineRecordCodec.decode(records.getJsonObject("m"))
        assertEquals(records.getJsonObject("m"), MachineRecordCodec.encode(machines)) { "$machines" }
    }

    /** The version in production ignores new fields, so a record must keep all fields that it reads, with the same values. */
    @Example
    fun `new fields of a record leave the fields that production reads unchanged`() {
        val records = samples.getJsonObject("records")
        val plain = JobRecordCodec.decode(records.getJsonObject("j"))
        val spec: JobSpec = plain.copy(dependencies = listOf("j-7"))
        val written = JsonObject(JobRecordCodec.encode(spec).encode())
        assertTrue(
            records.getJsonObject("j").fieldNames().all { written.getValue(it) == records.getJsonObject("j").getValue(it) },
        ) { "$written" }
        assertEquals(spec, JobRecordCodec.decode(written)) { "the dependencies are lost" }
        val finishedRecord = JsonObject(JobRecordCodec.encodeFinished(FinishedJob(JobOutcome(EndStatus.DONE, 5), 12)).encode())
        assertTrue(
            records.getJsonObject("x").fieldNames().all { finishedRecord.getValue(it) == records.getJsonObject("x").getValue(it) },
        ) { "$finishedRecord" }
    }
}
