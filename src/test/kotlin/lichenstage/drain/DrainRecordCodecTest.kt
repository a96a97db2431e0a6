package lichenstage.drain

import io.vertx.core.json.JsonObject
import kotlinx.collections.immutable.toPersistentMap
import lichenstage.state.Change
import lichenstage.state.Entry
import lichenstage.state.UnreadableRecordException
import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import java.util.Random

/** Guards against drain state that changes when a new leader reads it, and against records above the size limit. */
class DrainRecordCodecTest {
    private fun state(random: Random): DrainState {
        val machines =
            List(random.nextInt(400)) {
                val stage = Stage.entries[random.nextInt(Stage.entries.size)]
                DrainedMachine(
                    "vm-%06d".format(it),
                    "drain-${it % 3}",
                    stage,
                    random.nextLong(),
                    "vm-9$it".takeIf {
                        random.nextBoolean()
                    },
                    random.nextInt(5),
                )
            }
        val interruptions =
            List(random.nextInt(150)) {
                val cause = InterruptionCause.entries[random.nextInt(2)]
                Interruption(TaskId("j-${random.nextInt(1_000_000)}", it), random.nextLong(), "team-${it % 4}", cause, random.nextLong())
            }
        return DrainState(machines.associateBy { it.key }.toPersistentMap(), interruptions.associateBy { it.taskId }.toPersistentMap())
    }

    @Property(tries = 60, seed = "23")
    fun `a decoded state equals the encoded one, and each page of machines is within the size limit`(
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        val valueBytes = listOf(2_048, 8_192, 16_384)[random.nextInt(3)]
        val codec = DrainRecordCodec(valueBytes)
        val state = state(random)
        val pages = codec.encodeState(state)
        val entries = pages.map { Entry(it.key, JsonObject(it.value.encode()), 1) }
        val read =
            codec.decodeState(
                entries.filter {
                    it.key.startsWith(DrainRecordCodec.MACHINE_PREFIX)
                },
                entries.filter { it.key.startsWith(DrainRecordCodec.INTERRUPTION_PREFIX) },
            )
        assertEquals(state, read) { "seed $seed" }
        val machines = pages.filterKeys { it.startsWith(DrainRecordCodec.MACHINE_PREFIX) }
        assertTrue(
            machines.values.all { it.encode().length <= valueBytes },
        ) { "seed $seed: ${machines.values.maxOf { it.encode().length }}" }
    }

    @Example
    fun `only changed pages are written, and empty pages are not created`() {
        val codec = DrainRecordCodec(8_192)
        val state = state(Random(5))
        val pages = codec.encodeState(state)
        assertTrue(DrainRecordCodec.changes(pages, pages).isEmpty()) { "unchanged pages are written" }
        val machine = state.machines.values.first()
        val changedPages =
            codec.encodeState(
                state.copy(machines = state.machines.put(machine.key, machine.copy(stage = Stage.WAITING, sinceUs = 7))),
            )
        assertEquals(
            1,
            DrainRecordCodec.changes(pages, changedPages).size,
        ) { "${DrainRecordCodec.changes(pages, changedPages).size} pages for one machine" }
        assertTrue(DrainRecordCodec.changes(emptyMap(), codec.encodeState(DrainState())).isEmpty()) { "empty pages are written" }
        val cleared = DrainRecordCodec.changes(pages, codec.encodeState(state.copy(interruptions = DrainState().interruptions)))
        assertTrue(cleared.all { (it as Change.Put).value.getJsonArray("rows").isEmpty }) { "$cleared" }
    }

    @Example
    fun `an invalid record or one of a later format fails with its key in the message`() {
        val codec = DrainRecordCodec(8_192)
        val drain = Drain("d", true, 3, DrainStatus.PAUSED, "why", 5, 9)
        val entry = Entry(DrainRecordCodec.DRAIN_PREFIX + "d", codec.encode(drain), 1)
        assertEquals(drain, codec.decodeDrain(entry)) { "${codec.decodeDrain(entry)}" }
        for (invalidValue in listOf(JsonObject(), codec.encode(drain).put("form", 2), codec.encode(drain).put("status", "DANCING"))) {
            val error = runCatching { codec.decodeDrain(Entry(entry.key, invalidValue, 1)) }.exceptionOrNull()
            assertTrue(error is UnreadableRecordException && error.message!!.startsWith(entry.key)) { "$invalidValue: $error" }
        }
        val page =
            runCatching {
                codec.decodeMachines(
                    Entry(DrainRecordCodec.MACHINE_PREFIX + "d/0", JsonObject().put("form", 1).put("rows", "x"), 1),
                )
            }
        assertTrue(page.exceptionOrNull() is UnreadableRecordException) { "$page" }
    }
}
