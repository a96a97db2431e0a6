package lichenstage.placement

import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import lichenstage.model.MachineRecordCodec
import lichenstage.model.RegisteredMachine
import lichenstage.state.Change
import lichenstage.state.Entry
import lichenstage.state.TransactionLimits
import lichenstage.state.UnreadableRecordException
import lichenstage.state.WriteOutcome
import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue

class DurableMachineRegistryTest {
    private fun registry(
        maxValueBytes: Int,
        maxChanges: Int = 12,
    ) = DurableMachineRegistry(maxValueBytes, TransactionLimits(maxChanges))

    /**
     * The chunks are written under a limit of 8 KiB and loaded under a limit of 2 KiB. Every machine must be recorded at all times, no
     * matter which writes fail.
     */
    @Property(tries = 100, seed = "78")
    fun `chunks of a larger limit are split while every machine stays recorded`(
        @ForAll outcomes: List<Boolean>,
    ) {
        val earlierRegistry = registry(8192)
        val machines = (0 until 200).map(::machine)
        machines.forEach(earlierRegistry::add)
        val store = HashMap<String, Entry>()
        while (earlierRegistry.hasUnwrittenChunks) {
            earlierRegistry.takeDueChunks().forEach {
                store[it.key] =
                    Entry(it.key, MachineRecordCodec.encode(it.machines), 1)
            }
        }
        val registry = registry(2048, maxChanges = 4)
        store.values.toList().forEach(registry::load)
        registry.splitOversizedChunks()
        val removedNames = machines.take(3).map { it.name }
        registry.remove(removedNames)
        for (isCommitted in outcomes + List(60) { true }) {
            val chunks = registry.takeDueChunks()
            registry.onWritten(chunks, if (isCommitted) WriteOutcome.COMMITTED else WriteOutcome.FAILED)
            for (chunk in chunks.takeIf { isCommitted }.orEmpty()) {
                assertTrue(MachineRecordCodec.encode(chunk.machines).encode().length <= 2048) { "a chunk exceeds the limit" }
                store[chunk.key] = Entry(chunk.key, MachineRecordCodec.encode(chunk.machines), 1)
            }
            val recordedNames = store.values.flatMap { MachineRecordCodec.decode(it.value) }.mapTo(HashSet()) { it.name }
            assertTrue(machines.all { it.name in recordedNames || it.name in removedNames }) { "a machine is temporarily not recorded" }
        }
        assertTrue(!registry.hasUnwrittenChunks && store.values.all { it.value.encode().length <= 2048 }) { "the chunks are not split" }
        val nextRegistry = registry(2048)
        assertEquals(
            machines.map { it.name }.toSet() - removedNames.toSet(),
            store.values
                .flatMap(nextRegistry::load)
                .map { it.name }
                .toSet(),
        ) { "the records differ from the machines" }
    }

    private fun machine(number: Int) = RegisteredMachine("vm-${1000000 + number}", "type", "zone", number % 2 == 0, "10.200.100.50:9000")

    /** Machines come and go, and writes fail. A new leader must read the state at the last write that succeeded. */
    @Property(tries = 100, seed = "77")
    fun `a new leader reads the machines that were written, and few changes are needed`(
        @ForAll steps: List<Int>,
    ) {
        val registry = registry(8192)
        val store = HashMap<String, Entry>()
        val expectedNumbers = HashSet<Int>()
        var changes = 0

        fun write(isCommitted: Boolean) {
            val chunks = registry.takeDueChunks()
            registry.onWritten(chunks, if (isCommitted) WriteOutcome.COMMITTED else WriteOutcome.FAILED)
            if (!isCommitted) return
            for (change in chunks.map { it.change }) {
                changes++
                when (change) {
                    is Change.Put -> store[change.key] = Entry(change.key, change.value, 1)
                    is Change.Delete -> store.remove(change.key)
                }
                if (change is Change.Put) assertTrue(change.value.encode().length <= 8192) { "a chunk exceeds the limit" }
            }
        }
        for (step in steps) {
            val number = Math.floorMod(step, 300)
            if (expectedNumbers.add(number)) {
                registry.add(machine(number))
            } else {
                expectedNumbers.remove(number)
                registry.remove(listOf(machine(number).name))
            }
            if (step % 5 == 0) write(isCommitted = step % 2 == 0)
        }
        repeat(30) { write(isCommitted = true) }
        val nextRegistry = registry(8192)
        val read = store.values.flatMap(nextRegistry::load)
        assertEquals(expectedNumbers.map(::machine).toSet(), read.toSet()) { "read $read instead of $expectedNumbers" }
        assertTrue(changes <= steps.size + 30) { "$changes changes for ${steps.size} steps" }
    }

    @Example
    fun `the error for an unreadable chunk names its key and the machine in it`() {
        val readable =
            JsonArray()
                .add("m1")
                .add("type")
                .add("zone")
                .add(true)
                .add("10.0.0.1:1")
        for (broken in listOf(JsonArray().add("m2"), JsonArray(readable.list).copy().set(3, "yes"), "m2")) {
            val entry = Entry("m/4", JsonObject().put("machines", JsonArray().add(readable).add(broken)), 1)
            val error = assertThrows(UnreadableRecordException::class.java) { registry(8192).load(entry) }
            assertTrue(error.message!!.startsWith("m/4: machines[1]: must be a list of name, type, zone")) { "${error.message}" }
        }
        val missingListError =
            assertThrows(UnreadableRecordException::class.java) { registry(8192).load(Entry("m/0", JsonObject(), 1)) }
        assertEquals("m/0: machines: must be a list", missingListError.message)
    }
}
